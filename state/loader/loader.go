// Package loader reads the settings of one process from a YAML file.
package loader

import (
	"fmt"
	"os"
	"time"

	"github.com/foxtailhall/foxtailhall/state/checker"
)

// Settings configures one process. The only other machines that it names are the
// log or store and a few peers.
type Settings struct {
	// CallerAddress is the IP:port for callers' HTTP requests.
	CallerAddress string `yaml:"CallerAddress" validate:"required,hostname_port"`
	// PeerAddress is the IP:port that other processes connect to.
	PeerAddress string `yaml:"PeerAddress" validate:"required,hostname_port"`
	// PeerListen is the IP:port to listen on for other processes; empty means PeerAddress.
	PeerListen string `yaml:"PeerListen" validate:"omitempty,hostname_port"`
	// AdminAddress is the IP:port for status, metrics, and requests from the backend server on the same VM.
	AdminAddress string `yaml:"AdminAddress" validate:"required,hostname_port"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"Zone" validate:"required,max=64"`
	// LogAddress is the IP:port of the log that operators publish to. It must be empty if StoreAddress is given.
	LogAddress string `yaml:"LogAddress" validate:"required_without=StoreAddress,omitempty,hostname_port"`
	// StoreAddress is the IP:port of a platform's metadata store, which replaces the log.
	StoreAddress string `yaml:"StoreAddress" validate:"excluded_with=LogAddress,omitempty,hostname_port"`
	// AnnounceAddress is the IP:port where, on a platform, the backend server on the same VM announces itself.
	AnnounceAddress string `yaml:"AnnounceAddress" validate:"required_with=StoreAddress,omitempty,hostname_port"`
	// ReadyAddress is the IP:port of the readiness check for a platform.
	ReadyAddress string `yaml:"ReadyAddress" validate:"required_with=StoreAddress,omitempty,hostname_port"`
	// ServerAddress is the IP:port of the backend server on the same VM, on a platform.
	ServerAddress string `yaml:"ServerAddress" validate:"required_with=StoreAddress,omitempty,hostname_port"`
	// Service names the service of the VM. Backend servers receive it with each request that enters the fleet here.
	Service string `yaml:"Service" validate:"required_with=StoreAddress,max=100"`
	// FloorShare is the share of a service's announced slots that ejections must leave, for services from a platform.
	FloorShare float64 `yaml:"FloorShare" default:"0.7" validate:"min=0,max=1"`
	// RetryShare limits the fleet's retries, as a share of all requests, for services from a platform.
	RetryShare float64 `yaml:"RetryShare" default:"0.1" validate:"min=0,max=1"`
	// RetrySlack is the number of retries by which the fleet may exceed RetryShare within RetryWindow.
	RetrySlack float64 `yaml:"RetrySlack" validate:"min=0,max=1000000"`
	// RetryWindow is the time over which RetryShare and RetrySlack apply.
	RetryWindow time.Duration `yaml:"RetryWindow" default:"10s" validate:"min=100ms,max=10m"`
	// ShedEarly rejects requests early while no server could serve them in time, for services from a platform.
	ShedEarly bool `yaml:"ShedEarly"`
	// Balance is what servers are chosen by, for services from a platform: Requests or Work.
	Balance string `yaml:"Balance" default:"Requests" validate:"oneof=Requests Work"`
	// StopLimit is the time from the request to stop until the process is killed; 0 means that it isn't killed.
	StopLimit time.Duration `yaml:"StopLimit" validate:"min=0s,max=1h"`
	// Peers lists IP:ports of other processes through which the process joins the fleet.
	Peers []string `yaml:"Peers" validate:"max=100,dive,hostname_port"`
	// QuotaWindow is the time over which the requests of a customer are limited.
	QuotaWindow time.Duration `yaml:"QuotaWindow" default:"5s" validate:"min=1s,max=1m"`
	// QuotaTolerance is the share of a customer's limit by which the fleet may exceed it within QuotaWindow.
	QuotaTolerance float64 `yaml:"QuotaTolerance" default:"0.1" validate:"min=0,max=1"`
	// QuotaSlack is the number of requests by which the fleet may exceed a customer's limit within QuotaWindow.
	QuotaSlack float64 `yaml:"QuotaSlack" default:"20" validate:"min=0,max=1000000"`
	// LogLevel is the minimum level of log lines: Debug, Info, Warn or Error.
	LogLevel string `yaml:"LogLevel" default:"Info" validate:"oneof=Debug Info Warn Error"`
	// LogRetention is the minimum time for which the platform's log keeps a record.
	LogRetention time.Duration `yaml:"LogRetention" default:"1h" validate:"min=10s,max=8760h"`
	// KeyLifetime is how long requests with an idempotency key may be repeated. It must be at most half of LogRetention.
	KeyLifetime time.Duration `yaml:"KeyLifetime" default:"20m" validate:"min=1s,max=720h"`
	// KeptAttempts is the maximum number of attempts that the guard remembers.
	KeptAttempts int `yaml:"KeptAttempts" default:"200000" validate:"min=100,max=10000000"`
	// KeptKeys is the maximum number of idempotency keys that the guard remembers.
	KeptKeys int `yaml:"KeptKeys" default:"100000" validate:"min=100,max=10000000"`
	// KeptAnswerBytes is the maximum memory for answers kept for repeated keys.
	KeptAnswerBytes int `yaml:"KeptAnswerBytes" default:"16777216" validate:"min=0,max=1073741824"`
	// MemoryLimit is the memory that the process may use, in MB of 1,048,576 bytes; 0 means no limit.
	MemoryLimit int `yaml:"MemoryLimit" validate:"omitempty,min=96,max=1048576"`
	// DescriptorLimit is the number of file descriptors that the process may have open; 0 means no limit.
	DescriptorLimit int `yaml:"DescriptorLimit" validate:"omitempty,min=200,max=10000000"`
	// StopGrace is how long the process still accepts callers after it announced its stop.
	StopGrace time.Duration `yaml:"StopGrace" default:"2s" validate:"min=0s,max=5m"`
}

// Loader reads and validates settings files.
type Loader struct {
	checker *checker.Checker
}

// New returns a loader that validates files with the given checker.
func New(checker *checker.Checker) *Loader {
	return &Loader{checker: checker}
}

// Load reads one file. If its content is invalid, the error is a checker.Faults.
func (l *Loader) Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	return l.Parse(file, text)
}

// Parse reads settings from the text of one file.
func (l *Loader) Parse(file string, text []byte) (Settings, error) {
	docs, err := l.checker.Documents(file, text)
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	if len(docs) != 1 {
		reason := fmt.Sprintf("contains %d documents, but settings must be exactly one", len(docs))
		return Settings{}, checker.Faults{{File: file, Reason: reason}}
	}
	var settings Settings
	if err := l.checker.Decode(file, docs[0], &settings); err != nil {
		return Settings{}, fmt.Errorf("decoding settings: %w", err)
	}
	if settings.PeerListen == "" {
		settings.PeerListen = settings.PeerAddress
	}
	if 2*settings.KeyLifetime > settings.LogRetention {
		return Settings{}, checker.Faults{{
			File:   file,
			Line:   checker.Line(docs[0], "KeyLifetime"),
			Field:  "KeyLifetime",
			Reason: fmt.Sprintf("%s is more than half of LogRetention, %s", settings.KeyLifetime, settings.LogRetention),
		}}
	}
	return settings, nil
}
