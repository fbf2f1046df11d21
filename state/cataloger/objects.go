package cataloger

import "time"

// Kind is the type of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindService       Kind = "Service"
	KindBackendServer Kind = "BackendServer"
	KindRoute         Kind = "Route"
	KindPolicy        Kind = "Policy"
	KindLimits        Kind = "Limits"
	KindCustomer      Kind = "Customer"
)

// MaxPriority is the largest value of the Priority fields, which stands in their validation rules.
const MaxPriority = 1000

// Key identifies an object within a catalog.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as Kind/Name.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Service is a pool of backend servers that serve the same requests.
type Service struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Policy names the Policy object of the service.
	Policy string `yaml:"Policy" validate:"required"`
	// FloorSlots is the healthy capacity, in slots, that ejections must leave.
	FloorSlots uint32 `yaml:"FloorSlots" validate:"max=10000000"`
	// FloorShare raises the floor to this share of the announced slots.
	FloorShare float64 `yaml:"FloorShare" validate:"min=0,max=1"`
	// Deadline is the time limit of requests whose caller sets none.
	Deadline time.Duration `yaml:"Deadline" default:"5s" validate:"min=10ms,max=10m"`
	// MaxBodyBytes is the maximum length of a request body; longer ones are refused with 413.
	MaxBodyBytes int64 `yaml:"MaxBodyBytes" default:"67108864" validate:"min=1,max=1073741824"`
	// AnswerContentType is the media type that each 200 answer must have; empty means any.
	AnswerContentType string `yaml:"AnswerContentType" validate:"max=100"`
	// EchoesRequestID declares that the server repeats Foxtailhall-Request-Id in its answer.
	EchoesRequestID bool `yaml:"EchoesRequestId"`
	// MinAnswerBytes is the minimum length of a 200 answer.
	MinAnswerBytes int64 `yaml:"MinAnswerBytes" validate:"min=0,max=1073741824"`
}

// BackendServer describes the servers that announce themselves under its name.
type BackendServer struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Service names the Service object that the servers belong to.
	Service string `yaml:"Service" validate:"required"`
	// Slots is the number of requests that one server handles concurrently.
	Slots uint32 `yaml:"Slots" validate:"min=1,max=10000"`
	// QueueSlots is the number of admitted requests that may wait for a slot.
	QueueSlots uint32 `yaml:"QueueSlots" default:"8" validate:"max=10000"`
	// ColdStart is the time over which a new server's share of requests rises to its full share.
	ColdStart time.Duration `yaml:"ColdStart" default:"5s" validate:"min=0s,max=1h"`
}

// Route sends callers' requests to a service.
type Route struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Host restricts the route to one host name; empty matches any.
	Host string `yaml:"Host" validate:"max=255"`
	// PathPrefix matches whole path segments; the longest match wins. One that ends with a slash does not match the path without it.
	PathPrefix string `yaml:"PathPrefix" validate:"required,startswith=/,max=1000"`
	// Service names the Service object that serves the route. It must be empty if Split is given.
	Service string `yaml:"Service" validate:"required_without=Split"`
	// Split distributes the route's requests over several services by weight.
	Split []Share `yaml:"Split,omitempty" validate:"max=100,dive"`
	// NonIdempotent declares all requests of the route non-idempotent, whatever their method.
	NonIdempotent bool `yaml:"NonIdempotent"`
	// Idempotent declares all requests of the route idempotent, whatever their method.
	Idempotent bool `yaml:"Idempotent"`
	// TimeLimit is the maximum duration of a request; 0 leaves it to the deadline of the caller or service.
	TimeLimit time.Duration `yaml:"TimeLimit" validate:"min=0s,max=1h"`
	// Objective is the target answer time; 0 means none.
	Objective time.Duration `yaml:"Objective" validate:"min=0s,max=1h"`
	// Priority ranks the route's requests when slots are scarce; 0 is the most urgent.
	Priority uint32 `yaml:"Priority" validate:"max=1000"`
	// MaxAttempts limits the number of servers that one request may run on; 0 means the built-in limit.
	MaxAttempts int `yaml:"MaxAttempts" validate:"min=0,max=16"`
	// Public exempts the route's requests from the need for a customer's key.
	Public bool `yaml:"Public"`
}

// Customer is an organization whose callers share keys and a quota. While any Customer exists, requests need the
// key of one, unless their route is public.
type Customer struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Keys lists the secrets that identify the customer's callers. No two customers may have the same key.
	Keys []string `yaml:"Keys,omitempty" validate:"max=1000,dive,required,max=1000"`
	// Rate limits the customer's requests a second over all processes; 0 means no limit.
	Rate float64 `yaml:"Rate" validate:"min=0,max=1000000000"`
	// Burst is the number of requests by which the customer may exceed Rate for a short time.
	Burst float64 `yaml:"Burst" validate:"min=0,max=1000000000"`
	// Priority ranks the customer's requests when slots are scarce, before the route's priority; 0 is the most urgent.
	Priority uint32 `yaml:"Priority" validate:"max=1000"`
}

// Share is one service's share of a split route.
type Share struct {
	// Service names the Service object that serves this share.
	Service string `yaml:"Service" validate:"required"`
	// Weight is the share's weight relative to the other shares of the route.
	Weight uint32 `yaml:"Weight" validate:"max=1000000"`
}

// Targets returns the services that the route may send requests to.
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

// Pick returns the service for one request. Point is a random number in [0, 1).
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

// Limits restricts callers' requests and connections. At most one Limits object exists.
type Limits struct {
	Kind Kind `yaml:"Kind"`
	// Name has no meaning, since there is only one object of this kind.
	Name string `yaml:"Name" validate:"required,max=100"`
	// HeaderBytes is the maximum length of a request head; longer ones are refused with 431.
	HeaderBytes int `yaml:"HeaderBytes" default:"65536" validate:"min=1024,max=1048576"`
	// BodyBytes is the maximum length of a request body; longer ones are refused with 413.
	BodyBytes int64 `yaml:"BodyBytes" default:"67108864" validate:"min=1,max=1073741824"`
	// HeaderTimeout is the maximum time from the first to the last byte of a request head.
	HeaderTimeout time.Duration `yaml:"HeaderTimeout" default:"10s" validate:"min=10ms,max=10m"`
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration `yaml:"IdleTimeout" default:"3m" validate:"min=100ms,max=1h"`
}

// DefaultLimits returns the limits that apply while no Limits object exists.
func DefaultLimits() Limits {
	return Limits{
		Kind:          KindLimits,
		HeaderBytes:   64 << 10,
		BodyBytes:     64 << 20,
		HeaderTimeout: 10 * time.Second,
		IdleTimeout:   3 * time.Minute,
	}
}

// Policy sets how readily servers are ejected and limits retries.
type Policy struct {
	Kind Kind   `yaml:"Kind"`
	Name string `yaml:"Name" validate:"required,max=100"`
	// Caution is the evidence, in nats, at which a server is ejected. Lower values eject faster but more often wrongly.
	Caution float64 `yaml:"Caution" default:"24" validate:"min=4,max=200"`
	// EjectionTime is how long a first ejection lasts; each repeated ejection doubles it.
	EjectionTime time.Duration `yaml:"EjectionTime" default:"10s" validate:"min=1s,max=1h"`
	// MaxEjectionTime limits the doubling of EjectionTime.
	MaxEjectionTime time.Duration `yaml:"MaxEjectionTime" default:"5m" validate:"min=1s,max=24h"`
	// FailurePause is how long a server is avoided after one failure if others can take its requests; 0 disables it.
	FailurePause time.Duration `yaml:"FailurePause" validate:"min=0s,max=1m"`
	// RetryShare limits retries and hedged attempts, as a share of first attempts.
	RetryShare float64 `yaml:"RetryShare" default:"0.08" validate:"min=0,max=1"`
	// Hedge allows a second, parallel attempt of an idempotent request that is late.
	Hedge bool `yaml:"Hedge"`
	// ShedEarly rejects requests at the router while guards report that none could be served in time.
	ShedEarly bool `yaml:"ShedEarly"`
	// Balance is what servers are chosen by: Requests compares their numbers of requests, Work the expected completion times.
	Balance Balance `yaml:"Balance" default:"Requests" validate:"oneof=Requests Work"`
}

// Balance is what servers are chosen by.
type Balance string

// Values of Balance.
const (
	// BalanceRequests compares the numbers of requests at servers.
	BalanceRequests Balance = "Requests"
	// BalanceWork compares expected completion times by the work left at servers.
	BalanceWork Balance = "Work"
)

// ByWork reports whether servers are chosen by the work left.
func (p Policy) ByWork() bool { return p.Balance == BalanceWork }
