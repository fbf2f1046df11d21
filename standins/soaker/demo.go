package soaker

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// DemoDuration is the length of the demo's load.
const DemoDuration = 22 * time.Second

// DemoPlan returns the events of the demo, for 9 VMs or more.
func DemoPlan() Plan {
	return Plan{
		{At: 2 * time.Second, Lasts: 3 * time.Second, Kind: KindErrors, VM: 1},
		{At: 6 * time.Second, Kind: KindKill, VM: 2},
		{At: 8 * time.Second, Lasts: 3 * time.Second, Kind: KindStoreDown},
		{At: 9 * time.Second, Kind: KindStop, VM: 3},
		{At: 12 * time.Second, Kind: KindDrain, VM: 4},
		{At: 15 * time.Second, Kind: KindPublish},
	}
}

// Table prints what callers and servers saw.
func (v Verdict) Table(out io.Writer) error {
	rows := [][2]string{
		{"Requests served / refused / failed", fmt.Sprintf("%d / %d / %d", v.Served, v.Refused, v.Failed)},
		{"Non-idempotent run more than once", v.count("AtMostOnce")},
		{"Told not run, but run", v.count("NotRunIsTrue")},
		{"Answers that were not whole", v.count("WholeAnswer")},
		{"Cut off, though nothing was killed", v.count("NoAnswerCutOff")},
		{"Work for a server that had left", v.count("NoWorkForALeavingServer")},
		{"Version late or taken back", v.count("Configuration")},
		{"Version seen through all VMs within", v.Spread.Round(time.Millisecond).String()},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(out, "%-36s %s\n", row[0], row[1]); err != nil {
			return fmt.Errorf("printing the table: %w", err)
		}
	}
	return nil
}

func (v Verdict) count(promise string) string {
	count := 0
	for _, failure := range v.Failures {
		if strings.HasPrefix(failure, promise) {
			count++
		}
	}
	return fmt.Sprint(count)
}
