package cataloger

import "time"

// Kind names a type of configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindService       Kind = "Service"
	KindBackendServer Kind = "BackendServer"
	KindRoute         Kind = "Route"
	KindPolicy        Kind = "Policy"
	KindLimits        Kind = "Limits"
)

// Key identifies an object within a catalog.
type Key struct {
	Kind Kind
	Name string
}

// String gives the key as Kind/Name.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Service is a pool of backend servers that answer the same requests.
type Service struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Policy names the Policy object that steers the service.
	Policy string `yaml:"Policy" validate:"required"`
	// FloorSlots is the healthy capacity, in slots, that no ejection goes below.
	FloorSlots uint32 `yaml:"FloorSlots" validate:"max=10000000"`
	// FloorShare raises the floor to this share of the slots that are announced.
	FloorShare float64 `yaml:"FloorShare" validate:"min=0,max=1"`
	// Deadline is given to requests that bring none of their own.
	Deadline time.Duration `yaml:"Deadline" default:"5s" validate:"min=10ms,max=10m"`
	// MaxBodyBytes bounds a request body; a larger one is refused with 413.
	MaxBodyBytes int64 `yaml:"MaxBodyBytes" default:"67108864" validate:"min=1,max=1073741824"`
	// AnswerContentType, when set, is the media type that each 200 answer must have.
	AnswerContentType string `yaml:"AnswerContentType" validate:"max=100"`
	// EchoesRequestID declares that the server repeats Foxtailhall-Request-Id in its answer.
	EchoesRequestID bool `yaml:"EchoesRequestId"`
	// MinAnswerBytes is the least length of a 200 answer.
	MinAnswerBytes int64 `yaml:"MinAnswerBytes" validate:"min=0,max=1073741824"`
}

// BackendServer describes the servers that announce themselves under its name.
type BackendServer struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Service names the Service object that the servers belong to.
	Service string `yaml:"Service" validate:"required"`
	// Slots is the number of requests that one server works on at once.
	Slots uint32 `yaml:"Slots" validate:"min=1,max=10000"`
	// QueueSlots is how many admitted requests may wait for a slot.
	QueueSlots uint32 `yaml:"QueueSlots" default:"8" validate:"max=10000"`
	// ColdStart is the time over which a new server's share of work rises.
	ColdStart time.Duration `yaml:"ColdStart" default:"5s" validate:"min=0s,max=1h"`
}

// Route sends callers' requests to a service.
type Route struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Host restricts the route to one host name; empty means any.
	Host string `yaml:"Host" validate:"max=255"`
	// PathPrefix matches whole path segments; the longest match wins.
	PathPrefix string `yaml:"PathPrefix" validate:"required,startswith=/,max=1000"`
	// Service names the Service object that serves the route. It is empty if Split is given.
	Service string `yaml:"Service" validate:"required_without=Split"`
	// Split shares the route's requests out among several services by weight.
	Split []Share `yaml:"Split,omitempty" validate:"max=100,dive"`
	// NonIdempotent marks every request of the route, whatever its method.
	NonIdempotent bool `yaml:"NonIdempotent"`
	// Idempotent marks every request of the route, whatever its method.
	Idempotent bool `yaml:"Idempotent"`
	// TimeLimit bounds how long a request may take; 0 leaves it to the caller's own deadline.
	TimeLimit time.Duration `yaml:"TimeLimit" validate:"min=0s,max=1h"`
	// Objective is the answer time aimed at; 0 means that none is stated.
	Objective time.Duration `yaml:"Objective" validate:"min=0s,max=1h"`
	// Priority ranks the route's requests where slots are short; 0 is the most urgent.
	Priority uint32 `yaml:"Priority" validate:"max=1000"`
	// MaxAttempts bounds the servers that one request may run on; 0 means the system's own bound.
	MaxAttempts int `yaml:"MaxAttempts" validate:"min=0,max=16"`
}

// Share is one part of a split route.
type Share struct {
	// Service names the Service object that serves the part.
	Service string `yaml:"Service" validate:"required"`
	// Weight is the part's weight among those of the route.
	Weight uint32 `yaml:"Weight" validate:"max=1000000"`
}

// Targets lists the services that a route may send requests to.
func (r Route) Targets() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		names = append(names, share.Service)
	}
	return names
}

// Pick returns the service for one request. The point lies between 0 and 1.
func (r Route) Pick(point float64) string {
	var total float64
	for _, share := range r.Split {
		total += float64(share.Weight)
	}
	left := point * total
	for _, share := range r.Split {
		left -= float64(share.Weight)
		if left < 0 {
			return share.Service
		}
	}
	if len(r.Split) > 0 {
		return r.Split[len(r.Split)-1].Service
	}
	return r.Service
}

// Limits bound what callers may send. There is one object of this kind at most.
type Limits struct {
	Kind Kind `yaml:"Kind"`
	// Name is free.
	Name string `yaml:"Name" validate:"required,max=100"`
	// HeaderBytes bounds a request's head; a longer one is refused with 431.
	HeaderBytes int `yaml:"HeaderBytes" default:"65536" validate:"min=1024,max=1048576"`
	// BodyBytes bounds a request's body; a longer one is refused with 413.
	BodyBytes int64 `yaml:"BodyBytes" default:"67108864" validate:"min=1,max=1073741824"`
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration `yaml:"HeaderTimeout" default:"10s" validate:"min=10ms,max=10m"`
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration `yaml:"IdleTimeout" default:"3m" validate:"min=100ms,max=1h"`
}

// DefaultLimits are in force while no object of the kind is.
func DefaultLimits() Limits {
	return Limits{
		Kind:          KindLimits,
		HeaderBytes:   64 << 10,
		BodyBytes:     64 << 20,
		HeaderTimeout: 10 * time.Second,
		IdleTimeout:   3 * time.Minute,
	}
}

// Policy trades detection time against false ejections and bounds retries.
type Policy struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Caution is the evidence, in nats, that ejects a server: low is fast, high is careful.
	Caution float64 `yaml:"Caution" default:"24" validate:"min=4,max=200"`
	// EjectionTime is how long a first ejection lasts.
	EjectionTime time.Duration `yaml:"EjectionTime" default:"10s" validate:"min=1s,max=1h"`
	// MaxEjectionTime bounds the doubling of repeated ejections.
	MaxEjectionTime time.Duration `yaml:"MaxEjectionTime" default:"5m" validate:"min=1s,max=24h"`
	// FailurePause is how long a server is passed over after one failure, where others can take the work; 0 is not at all.
	FailurePause time.Duration `yaml:"FailurePause" validate:"min=0s,max=1m"`
	// RetryShare is the share of first attempts that retries and hedges may add.
	RetryShare float64 `yaml:"RetryShare" default:"0.08" validate:"min=0,max=1"`
	// Hedge allows a second attempt of an idempotent request that is late.
	Hedge bool `yaml:"Hedge"`
}
