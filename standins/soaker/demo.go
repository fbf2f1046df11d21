package soaker

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// DemoDuration is how long the callers of the demo run.
const DemoDuration = 22 * time.Second

// DemoPlan returns the events of the demo. It needs at least 9 VMs.
func DemoPlan() Plan {
	return Plan{
		{At: 2 * time.Second, Length: 3 * time.Second, Kind: KindErrors, VM: 1},
		{At: 6 * time.Second, Kind: KindKill, VM: 2},
		{At: 8 * time.Second, Length: 3 * time.Second, Kind: KindStoreDown},
		{At: 9 * time.Second, Kind: KindStop, VM: 3},
		{At: 12 * time.Second, Kind: KindDrain, VM: 4},
		{At: 15 * time.Second, Kind: KindPublish},
	}
}

// WriteTable writes a table of request counts and violations to out.
func (v Verdict) WriteTable(out io.Writer) error {
	rows := [][2]string{
		{"Requests served / refused / failed", fmt.Sprintf("%d / %d / %d", v.Served, v.Refused, v.Failed)},
		{"Non-idempotent run more than once", v.violations("AtMostOnce")},
		{"Told not run, but run", v.violations("NotRunIsTrue")},
		{"Answers that were not whole", v.violations("WholeAnswer")},
		{"Cut off, though nothing was killed", v.violations("NoAnswerCutOff")},
		{"Work for a server that had left", v.violations("NoWorkForALeavingServer")},
		{"Version late or taken back", v.violations("Configuration")},
		{"Version seen through all VMs within", v.PropagationTime.Round(time.Millisecond).String()},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(out, "%-36s %s\n", row[0], row[1]); err != nil {
			return fmt.Errorf("printing the table: %w", err)
		}
	}
	return nil
}

// violations counts the failures whose guarantee starts with a prefix.
func (v Verdict) violations(prefix string) string {
	violations := 0
	for _, failure := range v.Failures {
		if strings.HasPrefix(failure, prefix) {
			violations++
		}
	}
	return fmt.Sprint(violations)
}
