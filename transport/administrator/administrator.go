// Package administrator serves the backend server beside the process, operators
// and the collector of metrics over HTTP.
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

// Paths of the pages.
const (
	PathAnnounce = "/announce"
	PathLeave    = "/leave"
	PathStatus   = "/status"
	PathObjects  = "/objects"
	PathMetrics  = "/metrics"
)

// Headers of PathObjects.
const (
	// HeaderVersion gives the version of the objects.
	HeaderVersion = "Foxtailhall-Version"
	// HeaderAsOf gives the log offset up to which the version is known to be the head.
	HeaderAsOf = "Foxtailhall-As-Of"
)

// Objects is the configuration in force.
type Objects struct {
	Version uint64
	// AsOf is the log offset up to which the version is known to be the head.
	AsOf int64
	// Text holds the objects as YAML documents.
	Text string
}

const maxBodyBytes = 64 << 10

// Status is what a process sees.
type Status struct {
	Incarnation string `json:"Incarnation"`
	Zone        string `json:"Zone"`
	PeerAddress string `json:"PeerAddress"`
	// UpSeconds is the time since the start in seconds.
	UpSeconds float64 `json:"UpSeconds"`
	Stopping  bool    `json:"Stopping"`
	// Version is that of the configuration in force.
	Version     uint64 `json:"Version"`
	Publication string `json:"Publication"`
	// ExactUpTo is the log offset up to which Version is known to be the head.
	ExactUpTo int64 `json:"ExactUpTo"`
	// Exact is false while a gap in the log keeps the process from judging publications.
	Exact          bool            `json:"Exact"`
	LogSilenceMs   int64           `json:"LogSilenceMs"`
	ActiveRequests int64           `json:"ActiveRequests"`
	Guard          GuardStatus     `json:"Guard"`
	Services       []ServiceStatus `json:"Services"`
}

// GuardStatus is the standing of the backend server beside the process.
type GuardStatus struct {
	Service  string `json:"Service"`
	Slots    uint32 `json:"Slots"`
	State    string `json:"State"`
	InFlight int    `json:"InFlight"`
	Waiting  int    `json:"Waiting"`
	// Suspicion is the evidence in nats; the policy's Caution condemns.
	Suspicion float64 `json:"Suspicion"`
	Cause     string  `json:"Cause"`
	// MeanLog is the smoothed ln of service time in microseconds.
	MeanLog       float64 `json:"MeanLog"`
	BadShare      float64 `json:"BadShare"`
	EjectedLeftMs int64   `json:"EjectedLeftMs"`
}

// ServiceStatus is one service in the process's view.
type ServiceStatus struct {
	Name         string         `json:"Name"`
	FloorSlots   uint32         `json:"FloorSlots"`
	HealthySlots uint32         `json:"HealthySlots"`
	Ejector      string         `json:"Ejector"`
	Servers      []ServerStatus `json:"Servers"`
}

// ServerStatus is one backend server in the router's view.
type ServerStatus struct {
	Address   string `json:"Address"`
	Zone      string `json:"Zone"`
	State     string `json:"State"`
	Slots     uint32 `json:"Slots"`
	Load      int64  `json:"Load"`
	LatencyUs int64  `json:"LatencyUs"`
	// Avoided is set while this router alone passes over the server.
	Avoided bool `json:"Avoided"`
}

// Dependencies are what the pages need of the process.
type Dependencies struct {
	Log      *slog.Logger
	Announce func(guard.Announcement) error
	// Leave asks for a planned stop and returns at once.
	Leave func()
	// Stopped is closed when the planned stop has drained the process.
	Stopped <-chan struct{}
	Status  func() Status
	Objects func() (Objects, error)
	Meter   *meter.Meter
}

// Administrator serves the pages.
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
		return fmt.Errorf("serving the administration: %w", err)
	}
	return nil
}

// Close stops serving.
func (a *Administrator) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := a.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("closing the administration: %w", err)
	}
	return nil
}

func (a *Administrator) announce(_ context.Context, c *app.RequestContext) {
	var announcement guard.Announcement
	decoder := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		a.refuse(c, consts.StatusBadRequest, fmt.Errorf("reading the announcement: %w", err))
		return
	}
	if err := a.validate.Struct(announcement); err != nil {
		a.refuse(c, consts.StatusBadRequest, fmt.Errorf("checking the announcement: %w", err))
		return
	}
	err := a.deps.Announce(announcement)
	switch {
	case err == nil:
		c.SetStatusCode(consts.StatusNoContent)
	case errors.Is(err, guard.ErrLeaving):
		a.refuse(c, consts.StatusGone, err)
	default:
		a.refuse(c, consts.StatusConflict, err)
	}
}

func (a *Administrator) refuse(c *app.RequestContext, status int, err error) {
	a.deps.Log.Warn("AdminRefused", "Path", string(c.Path()), "Status", status, "Error", err)
	c.String(status, "%s\n", err.Error())
}

// leave asks for a planned stop and answers once the process is drained.
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
		a.refuse(c, consts.StatusInternalServerError, err)
		return
	}
	c.Data(consts.StatusOK, "application/json", append(data, '\n'))
}

func (a *Administrator) objects(_ context.Context, c *app.RequestContext) {
	objects, err := a.deps.Objects()
	if err != nil {
		a.refuse(c, consts.StatusInternalServerError, err)
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
