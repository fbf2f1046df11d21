package runner

import (
	"math"
	"runtime/debug"
	"time"

	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

const (
	// accountShare is the share of the memory limit that the account gives out. The rest is
	// for the program, the configuration, the garbage collector and the kernel.
	accountShare = 0.35
	// runtimeShare is the share of the memory limit at which the Go runtime collects garbage
	// more often.
	runtimeShare = 0.75
	// serverShare is the share of the memory limit that the bodies of requests at the backend
	// server may have.
	serverShare = 0.25
	// reservedShare, up to maxReservedDescriptors, are the descriptors that callers never get:
	// files, servers, peers, the store and the readiness check.
	maxReservedDescriptors = 1500
	reservedShare          = 0.5
	// descriptorsPerRequest is the number of reserved descriptors for each request: those to
	// the guard, at a guard of this process and to its server, and a part of the others.
	descriptorsPerRequest = 5
)

const bytesPerMB = 1 << 20

// newMemory returns the account of the process and sets the limit of the Go runtime. It
// returns nil if neither memory nor descriptors are limited.
func (r *Runner) newMemory() *reserver.Reserver {
	settings := r.deps.Settings
	limit := int64(settings.MemoryLimit) * bytesPerMB
	account := int64(accountShare * float64(limit))
	switch {
	case limit > 0:
		debug.SetMemoryLimit(int64(runtimeShare * float64(limit)))
	case settings.DescriptorLimit > 0:
		account = math.MaxInt64
	default:
		return nil
	}
	return reserver.New(r.deps.Log, r.deps.Meter, func() time.Duration { return r.now().Mono }, account)
}

// maxInFlightBytes returns the bound on the bodies of the requests at the backend server, 0
// if there is none. The memory of the server isn't known; it shares that of the VM.
func (r *Runner) maxInFlightBytes() int64 {
	return int64(serverShare * float64(r.deps.Settings.MemoryLimit) * bytesPerMB)
}

// maxConnections returns the bound on callers' connections for a limit on descriptors, 0 if
// there is none.
func maxConnections(descriptorLimit int) int {
	return descriptorLimit - reservedDescriptors(descriptorLimit)
}

// maxRequests returns the bound on callers' requests for a limit on descriptors, 0 if there
// is none.
func maxRequests(descriptorLimit int) int {
	return reservedDescriptors(descriptorLimit) / descriptorsPerRequest
}

func reservedDescriptors(descriptorLimit int) int {
	return min(maxReservedDescriptors, int(reservedShare*float64(descriptorLimit)))
}
