package proofs

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/responder"
	"github.com/foxtailhall/foxtailhall/standins/storer"
)

const (
	// drainTime is after how long a process that has passed on an answer which says that a server
	// leaves sends it no request any more: the platform's bound.
	drainTime = 2 * time.Second
	// drawnTime is how long callers send requests after that.
	drawnTime = 2500 * time.Millisecond
	// drawnProcesses is the size of a drawn fleet.
	drawnProcesses = 6
	// witness is the process that passes the answer on. bystander is the youngest one, which is
	// not among the near peers that the process beside the server tells.
	witness, bystander = 1, 5
	// firstDrawnNetwork keeps the addresses of drawn fleets apart from those of others.
	firstDrawnNetwork = 1024
)

// leaveDraw is one draw of the moments at which a server that says in its answers that it leaves
// loses the process beside it and has late announcements.
type leaveDraw struct {
	seed uint64
	// killAfter is the time from the first answer that says it to the kill, and startAfter that
	// from the kill to the next start. stalls holds how long the new process stops, and when.
	killAfter, startAfter, stallAfter, stall time.Duration
	// secondKillAfter is the time from the start to another kill, 0 for none.
	secondKillAfter time.Duration
	// late holds the times of late announcements after the first kill.
	late []time.Duration
	// fault is that of the store from the leave to storeBackAfter after the first kill.
	fault          storer.Fault
	storeBackAfter time.Duration
	// witnessPause is how long the witness stops after the first start, 0 if it does not: its
	// requests are excused then, and it answers late.
	witnessPause time.Duration
	// witnessRestarts is set if the witness ends with the process beside the server, and forgets
	// what it has heard.
	witnessRestarts bool
}

// drawLeave draws from a seed. The same seed draws the same moments.
func drawLeave(seed uint64) leaveDraw {
	random := rand.New(rand.NewPCG(seed, 54))
	upTo := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	sometimes := func(one int, most time.Duration) time.Duration {
		if d := upTo(most); random.IntN(one) == 0 {
			return d
		}
		return 0
	}
	draw := leaveDraw{
		seed: seed, killAfter: upTo(300 * time.Millisecond), startAfter: upTo(time.Second),
		stallAfter: upTo(150 * time.Millisecond), stall: sometimes(3, time.Second),
		secondKillAfter: sometimes(3, 1500*time.Millisecond), storeBackAfter: upTo(time.Second),
		witnessPause: sometimes(5, 800*time.Millisecond),
	}
	// One arrives while the process starts.
	draw.late = append(draw.late, draw.startAfter+upTo(200*time.Millisecond))
	for range 2 + random.IntN(4) {
		draw.late = append(draw.late, upTo(3500*time.Millisecond))
	}
	switch random.IntN(5) {
	case 0:
		draw.fault.Delay = upTo(time.Second)
	case 1:
		draw.fault.Down = true
	case 2:
		draw.fault.Silent = true
	}
	draw.fault.NoEra = random.IntN(3) > 0
	draw.witnessRestarts = random.IntN(5) == 0
	return draw
}

// excused reports whether the rule does not bind the witness: it was stopped or ended meanwhile.
func (d leaveDraw) excused() bool { return d.witnessPause > 0 || d.witnessRestarts }

// sentRequest is a request of a caller.
type sentRequest struct {
	process int
	at      time.Time
}

// drawnFleet plays a draw.
type drawnFleet struct {
	*leavingFleet
	draw leaveDraw

	mu sync.Mutex
	// sent holds the requests by ID, and ran the IDs of those that the server started.
	sent map[string]sentRequest
	ran  []string
	// passedOn is when the witness first passed on an answer that says the leave.
	passedOn time.Time
	said     chan struct{}
}

// play plays a draw and returns the requests that the witness and the bystander sent to the
// server too late: by drainTime, and after the first kill.
func playLeave(t *testing.T, draw leaveDraw) (late, lost []string) {
	t.Helper()
	f := &drawnFleet{
		leavingFleet: newLeavingFleetOf(t, firstDrawnNetwork+int(draw.seed%20_000), drawnProcesses),
		draw:         draw, sent: map[string]sentRequest{}, said: make(chan struct{}),
	}
	f.server = responder.New(f.address(1, 9000), responder.Options{
		ID: leavingServer, Service: "writing", Slots: 4, ServiceTime: time.Millisecond, AnnounceAddress: f.address(1, 8004),
		OnRun: f.recordRun,
	})
	f.server.SetFault(responder.Fault{NoHeartbeats: true})
	ctx, cancel := context.WithCancel(t.Context())
	f.server.Start(ctx)
	defer f.server.Close()
	defer cancel()
	f.store.SetFault(storer.Fault{NoEra: draw.fault.NoEra})
	f.startAll()
	sequence := f.putInService(0)
	var callers sync.WaitGroup
	callers.Go(func() { f.sendFrom(ctx, witness, 20*time.Millisecond) })
	callers.Go(func() {
		<-f.said
		f.sendFrom(ctx, bystander, 10*time.Millisecond)
	})
	killed := f.leave(sequence)
	time.Sleep(time.Until(f.passedOn.Add(drainTime + drawnTime)))
	cancel()
	callers.Wait()
	return f.tooLate(killed)
}

// leave plays the draw's events and returns the time of the first kill.
func (f *drawnFleet) leave(sequence int) time.Time {
	f.t.Helper()
	f.store.SetFault(f.draw.fault)
	f.server.SetLeavingAnswers(true)
	select {
	case <-f.said:
	case <-time.After(waitTimeout):
		require.Fail(f.t, "no answer says that the server leaves")
	}
	time.Sleep(time.Until(f.passedOn.Add(f.draw.killAfter)))
	f.kill(0)
	killed := time.Now()
	if f.draw.witnessRestarts {
		f.kill(witness)
		f.launch(witness)
	}
	time.AfterFunc(f.draw.storeBackAfter, func() { f.store.SetFault(storer.Fault{NoEra: f.draw.fault.NoEra}) })
	for i, after := range f.draw.late {
		time.AfterFunc(after, func() { f.announceOnce(sequence + 1 + i) })
	}
	time.Sleep(f.draw.startAfter)
	f.launch(0)
	if f.draw.stall > 0 {
		time.Sleep(f.draw.stallAfter)
		f.pause(0, f.draw.stall)
	}
	if f.draw.witnessPause > 0 {
		f.pause(witness, f.draw.witnessPause)
	}
	if f.draw.secondKillAfter > 0 {
		time.Sleep(f.draw.secondKillAfter)
		f.kill(0)
		f.launch(0)
	}
	return killed
}

// announceOnce sends a late announcement, which may find no process.
func (f *drawnFleet) announceOnce(sequence int) {
	if f.t.Context().Err() == nil {
		f.announce("ready", sequence)
	}
}

func (f *drawnFleet) recordRun(run responder.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran = append(f.ran, run.Request)
}

// sendFrom sends requests to a process until the context is done.
func (f *drawnFleet) sendFrom(ctx context.Context, process int, period time.Duration) {
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("drawn-%d-%d-%d", f.draw.seed, process, i)
		open.Go(func() { f.sendOne(process, id) })
		time.Sleep(period)
	}
}

func (f *drawnFleet) sendOne(process int, id string) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost,
		"http://"+f.address(process+1, 8000)+"/write/a", strings.NewReader("x"))
	if err != nil {
		return
	}
	request.Host, request.Close = "soak", true
	request.Header.Set("Foxtailhall-Request-Id", id)
	request.Header.Set("Foxtailhall-Deadline-Ms", "1500")
	f.mu.Lock()
	f.sent[id] = sentRequest{process: process, at: time.Now()}
	f.mu.Unlock()
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	if process != witness || answer.Header.Get("Server-Leaving") == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.passedOn.IsZero() {
		f.passedOn = time.Now()
		close(f.said)
	}
}

func (f *drawnFleet) tooLate(killed time.Time) (late, lost []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.ran {
		sent, ok := f.sent[id]
		switch {
		case !ok:
		case sent.process == witness && !f.draw.excused() && sent.at.After(f.passedOn.Add(drainTime)):
			late = append(late, id)
		case sent.process == bystander && sent.at.After(killed):
			lost = append(lost, id)
		}
	}
	return late, lost
}

// TestDrawnLeavesAreNotForgotten guards against requests for a server that said in an answer that
// it leaves, from the VM that passed the answer on, whatever the moments of kills, starts and late
// announcements. DRAWS and DRAW_SEED set the number of draws and the first seed.
func TestDrawnLeavesAreNotForgotten(t *testing.T) {
	draws, first := environmentNumber(t, "DRAWS", 8), environmentNumber(t, "DRAW_SEED", 1)
	for seed := first; seed < first+draws; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			draw := drawLeave(seed)
			late, lost := playLeave(t, draw)
			t.Logf("%+v: %d requests of other VMs", draw, len(lost))
			require.Empty(t, late, "requests of the VM that passed the answer on: %+v", draw)
		})
	}
}

func environmentNumber(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, name)
	return number
}
