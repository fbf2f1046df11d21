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
	// Service names the Service object that serves the route.
	Service string `yaml:"Service" validate:"required"`
	// NonIdempotent marks every request of the route, whatever its method.
	NonIdempotent bool `yaml:"NonIdempotent"`
	// Idempotent marks every request of the route, whatever its method.
	Idempotent bool `yaml:"Idempotent"`
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
	// RetryShare is the share of first attempts that retries and hedges may add.
	RetryShare float64 `yaml:"RetryShare" default:"0.08" validate:"min=0,max=1"`
	// Hedge allows a second attempt of an idempotent request that is late.
	Hedge bool `yaml:"Hedge"`
}
