// Package administrator is the admin HTTP server of a process. It serves the
// backend server on the same VM, operators and the metrics collector.
package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/go-playground/validator/v10"

	"github.com/foxtailhall/foxtailhall/transport/guard"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

// Paths of the endpoints.
const (
	PathAnnounce = "/announce"
	PathLeave    = "/leave"
	PathStatus   = "/status"
	PathObjects  = "/objects"
	PathMetrics  = "/metrics"
)

// Response headers of PathObjects.
const (
	// HeaderVersion is the configuration version that the objects belong to.
	HeaderVersion = "Foxtailhall-Version"
	// HeaderAsOf is the log offset up to which the version is known to be the latest.
	HeaderAsOf = "Foxtailhall-As-Of"
)

// Objects is the current configuration.
type Objects struct {
	Version uint64
	// AsOf is the log offset up to which the version is known to be the latest.
	AsOf int64
	// Text contains the objects as YAML documents.
	Text string
}

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 10

// Status is the state of a process and its view of the fleet.
type Status struct {
	Incarnation string `json:"Incarnation"`
	Zone        string `json:"Zone"`
	PeerAddress string `json:"PeerAddress"`
	// UpSeconds is the time since the start in seconds.
	UpSeconds float64 `json:"UpSeconds"`
	Stopping  bool    `json:"Stopping"`
	// Version is the version of the current configuration.
	Version     uint64 `json:"Version"`
	Publication string `json:"Publication"`
	// ExactUpTo is the log offset up to which Version is known to be the latest.
	ExactUpTo int64 `json:"ExactUpTo"`
	// Exact is false while records missing from the log keep the process from
	// deciding whether publications are valid.
	Exact          bool            `json:"Exact"`
	LogSilenceMs   int64           `json:"LogSilenceMs"`
	ActiveRequests int64           `json:"ActiveRequests"`
	Guard          GuardStatus     `json:"Guard"`
	Services       []ServiceStatus `json:"Services"`
	// Quotas holds the customers with the most requests at this process.
	Quotas []QuotaStatus `json:"Quotas,omitempty"`
}

// QuotaStatus is a customer's limit and the use of it at this process.
type QuotaStatus struct {
	Customer string  `json:"Customer"`
	Rate     float64 `json:"Rate"`
	Burst    float64 `json:"Burst"`
	// Limited is set while requests are refused.
	Limited bool   `json:"Limited"`
	Granted uint64 `json:"Granted"`
	Refused uint64 `json:"Refused"`
	// Homes are the addresses of the processes that hold the token buckets of the parts.
	Homes []string `json:"Homes"`
	// Live and Members are how many processes can be reached, and how many there are that
	// are not known to have left.
	Live    int `json:"Live"`
	Members int `json:"Members"`
	// Held is the number of token buckets of the customer at this process; Level is the
	// number of tokens in them and Fraction the part of the limit that they may grant.
	Held     int     `json:"Held"`
	Level    float64 `json:"Level"`
	Fraction float64 `json:"Fraction"`
}

// GuardStatus is the state of the backend server at its guard.
type GuardStatus struct {
	Service  string `json:"Service"`
	Slots    uint32 `json:"Slots"`
	State    string `json:"State"`
	InFlight int    `json:"InFlight"`
	Waiting  int    `json:"Waiting"`
	// Suspicion is the evidence against the server, in nats. The policy's Caution
	// is its threshold.
	Suspicion float64 `json:"Suspicion"`
	Cause     string  `json:"Cause"`
	// MeanLog is the smoothed natural logarithm of the service time in microseconds.
	MeanLog       float64 `json:"MeanLog"`
	BadShare      float64 `json:"BadShare"`
	EjectedLeftMs int64   `json:"EjectedLeftMs"`
}

// ServiceStatus is the process's view of one service.
type ServiceStatus struct {
	Name         string         `json:"Name"`
	FloorSlots   uint32         `json:"FloorSlots"`
	HealthySlots uint32         `json:"HealthySlots"`
	Ejector      string         `json:"Ejector"`
	Servers      []ServerStatus `json:"Servers"`
}

// ServerStatus is the router's view of one backend server.
type ServerStatus struct {
	Address   string `json:"Address"`
	Zone      string `json:"Zone"`
	State     string `json:"State"`
	Slots     uint32 `json:"Slots"`
	Load      int64  `json:"Load"`
	LatencyUs int64  `json:"LatencyUs"`
	// Avoided is set while this router skips the server because of its own
	// observations.
	Avoided bool `json:"Avoided"`
}

// Dependencies holds what the endpoints need from the process.
type Dependencies struct {
	Log      *slog.Logger
	Announce func(guard.Announcement) error
	// Leave requests a planned stop and returns at once.
	Leave func()
	// Stopped is closed when the planned stop has drained the process.
	Stopped <-chan struct{}
	Status  func() Status
	Objects func() (Objects, error)
	Meter   *meter.Meter
}

// Administrator is the admin HTTP server.
type Administrator struct {
	deps     Dependencies
	server   *server.Hertz
	validate *validator.Validate
}

// New returns an administrator that will listen on an IP:port.
func New(address string, deps Dependencies) *Administrator {
	a := &Administrator{deps: deps, validate: validator.New(validator.WithRequiredStructEnabled())}
	a.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	a.server.POST(PathAnnounce, a.announce)
	a.server.POST(PathLeave, a.leave)
	a.server.GET(PathStatus, a.status)
	a.server.GET(PathObjects, a.objects)
	a.server.GET(PathMetrics, a.metrics)
	return a
}

// Run serves until Close.
func (a *Administrator) Run() error {
	if err := a.server.Run(); err != nil {
		return fmt.Errorf("serving the admin address: %w", err)
	}
	return nil
}

// Close stops serving.
func (a *Administrator) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := a.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutting down the admin server: %w", err)
	}
	return nil
}

func (a *Administrator) announce(_ context.Context, c *app.RequestContext) {
	var announcement guard.Announcement
	decoder := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		a.sendError(c, consts.StatusBadRequest, fmt.Errorf("reading the announcement: %w", err))
		return
	}
	if err := a.validate.Struct(announcement); err != nil {
		a.sendError(c, consts.StatusBadRequest, fmt.Errorf("checking the announcement: %w", err))
		return
	}
	err := a.deps.Announce(announcement)
	switch {
	case err == nil:
		c.SetStatusCode(consts.StatusNoContent)
	case errors.Is(err, guard.ErrLeaving):
		a.sendError(c, consts.StatusGone, err)
	default:
		a.sendError(c, consts.StatusConflict, err)
	}
}

func (a *Administrator) sendError(c *app.RequestContext, status int, err error) {
	a.deps.Log.Warn("AdminRefused", "Path", string(c.Path()), "Status", status, "Error", err)
	c.String(status, "%s\n", err.Error())
}

// leave requests a planned stop and responds once the process is drained.
func (a *Administrator) leave(ctx context.Context, c *app.RequestContext) {
	a.deps.Leave()
	select {
	case <-a.deps.Stopped:
		c.SetStatusCode(consts.StatusNoContent)
	case <-ctx.Done():
	}
}

func (a *Administrator) status(_ context.Context, c *app.RequestContext) {
	data, err := json.MarshalIndent(a.deps.Status(), "", "  ")
	if err != nil {
		a.sendError(c, consts.StatusInternalServerError, err)
		return
	}
	c.Data(consts.StatusOK, "application/json", append(data, '\n'))
}

func (a *Administrator) objects(_ context.Context, c *app.RequestContext) {
	objects, err := a.deps.Objects()
	if err != nil {
		a.sendError(c, consts.StatusInternalServerError, err)
		return
	}
	c.Response.Header.Set(HeaderVersion, strconv.FormatUint(objects.Version, 10))
	c.Response.Header.Set(HeaderAsOf, strconv.FormatInt(objects.AsOf, 10))
	c.Data(consts.StatusOK, "application/yaml", []byte(objects.Text))
}

func (a *Administrator) metrics(_ context.Context, c *app.RequestContext) {
	var page bytes.Buffer
	a.deps.Meter.Write(&page)
	c.Data(consts.StatusOK, "text/plain; charset=utf-8", page.Bytes())
}
