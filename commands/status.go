package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/administrator"
	"github.com/foxtailhall/foxtailhall/transport/requester"
)

const (
	// adminTimeout limits a request to the AdminAddress of a process.
	adminTimeout = 3 * time.Second
	// maxAdminBytes bounds an answer from there.
	maxAdminBytes = 1 << 30
)

type statusCommand struct {
	deps  *dependencies
	Admin string `long:"admin" description:"IP:port of the process's AdminAddress" required:"true" value-name:"ADDRESS"`
	JSON  bool   `long:"json" description:"Print everything as JSON"`
}

func addStatus(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "status", "Show what a running process sees",
		"Shows the version in force, the backend server beside the process, and every backend server that the process knows.",
		&statusCommand{deps: deps})
}

// Execute prints the status of one process.
func (c *statusCommand) Execute([]string) error {
	body, _, err := getAdmin(context.Background(), c.Admin, administrator.PathStatus)
	if err != nil {
		return fmt.Errorf("fetching the status: %w", err)
	}
	if c.JSON {
		if _, err := c.deps.stdout.Write(body); err != nil {
			return fmt.Errorf("printing: %w", err)
		}
		return nil
	}
	var status administrator.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return fmt.Errorf("decoding the status: %w", err)
	}
	if err := printStatus(c.deps.stdout, status); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

func printStatus(w io.Writer, status administrator.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "Process\t%s\tZone %s\tUp %.0fs\tStopping %t\n",
		status.PeerAddress, status.Zone, status.UpSeconds, status.Stopping)
	_, _ = fmt.Fprintf(table, "Version\t%d\tPublication %s\tExact %t up to offset %d\tLog silent for %dms\n",
		status.Version, status.Publication, status.Exact, status.ExactUpTo, status.LogSilenceMs)
	guard := status.Guard
	_, _ = fmt.Fprintf(table, "Guard\t%s\t%s\tSlots %d\tInFlight %d Waiting %d\n",
		guard.Service, guard.State, guard.Slots, guard.InFlight, guard.Waiting)
	_, _ = fmt.Fprintf(table, "Evidence\t%.1f nats\tCause %s\tBadShare %.3f\tEjected for another %dms\n",
		guard.Suspicion, guard.Cause, guard.BadShare, guard.EjectedLeftMs)
	for _, service := range status.Services {
		_, _ = fmt.Fprintf(table, "\nService\t%s\tFloor %d\tHealthy %d slots\tEjector %s\n",
			service.Name, service.FloorSlots, service.HealthySlots, service.Ejector)
		for _, server := range service.Servers {
			_, _ = fmt.Fprintf(table, "\t%s\tZone %s\t%s\tLoad %d/%d Latency %dus Avoided %t\n",
				server.Address, server.Zone, server.State, server.Load, server.Slots, server.LatencyUs, server.Avoided)
		}
	}
	for _, quota := range status.Quotas {
		_, _ = fmt.Fprintf(table, "\nCustomer\t%s\tRate %g/s Burst %g\tGranted %d Refused %d\tLimited %t Homes %s Live %d/%d\n",
			quota.Customer, quota.Rate, quota.Burst, quota.Granted, quota.Refused, quota.Limited,
			strings.Join(quota.Homes, ","), quota.Live, quota.Members)
		if quota.Held > 0 {
			_, _ = fmt.Fprintf(table, "\tBuckets\t%d\tLevel %.1f\tFraction %.3f\n", quota.Held, quota.Level, quota.Fraction)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the table: %w", err)
	}
	return nil
}

var errStatus = eris.New("unexpected HTTP status")

// getAdmin fetches a path from the AdminAddress of a process.
func getAdmin(ctx context.Context, address, path string) ([]byte, *protocol.ResponseHeader, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request := &protocol.Request{}
	request.SetMethod(consts.MethodGet)
	request.SetRequestURI("http://" + address + path)
	calls := requester.NewWithDialer(address, 0, &net.Dialer{Timeout: adminTimeout})
	response, err := calls.Once(ctx, request, maxAdminBytes)
	if err != nil {
		return nil, nil, fmt.Errorf("fetching %s from %s: %w", path, address, err)
	}
	if response.StatusCode() != consts.StatusOK {
		return nil, nil, fmt.Errorf("fetching %s from %s: %w %d", path, address, errStatus, response.StatusCode())
	}
	return response.Body(), &response.Header, nil
}

// fetchObjects returns the version in force at a process, the log offset up to
// which it is known to be the newest, and its objects.
func fetchObjects(ctx context.Context, address string) (version uint64, asOf int64, objects string, err error) {
	body, header, err := getAdmin(ctx, address, administrator.PathObjects)
	if err != nil {
		return 0, 0, "", err
	}
	version, err = strconv.ParseUint(string(header.Peek(administrator.HeaderVersion)), 10, 64)
	if err != nil {
		return 0, 0, "", fmt.Errorf("parsing the version: %w", err)
	}
	asOf, err = strconv.ParseInt(string(header.Peek(administrator.HeaderAsOf)), 10, 64)
	if err != nil {
		return 0, 0, "", fmt.Errorf("parsing the log offset: %w", err)
	}
	return version, asOf, string(body), nil
}
