package acceptor

import "time"

const (
	// bodyRate is the least average rate of a body that is being buffered, in bytes per
	// second. Callers on slow links send several times as fast.
	bodyRate = 2 << 10
	// streamSlack and streamRate are the time without progress and the least average rate of
	// a body that occupies a slot of a server.
	streamSlack = 5 * time.Second
	streamRate  = 16 << 10
)

// pace bounds the time in which a body arrives. Only the time is counted in which the
// process waits for the caller, so that a slow server does not count against it.
type pace struct {
	// slack is how long the process still waits without progress, at most limit.
	slack, limit time.Duration
	// perByte is the time that each byte adds to the slack. Without it any byte restores all
	// of the slack.
	perByte time.Duration
}

func newPace(limit time.Duration, bytesPerSecond int) pace {
	return pace{slack: limit, limit: limit, perByte: time.Second / time.Duration(bytesPerSecond)}
}

// left returns how long the next read may take.
func (p *pace) left() time.Duration { return max(p.slack, 0) }

// record counts a read that took some time and brought some bytes.
func (p *pace) record(took time.Duration, bytes int) {
	if p.perByte == 0 {
		p.slack = p.limit
		return
	}
	p.slack = min(p.limit, p.slack-took+time.Duration(bytes)*p.perByte)
}
