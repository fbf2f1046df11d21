// Package tabulator writes the results of the benchmark of the users' platform, which
// are read from the journal, as Markdown tables.
package tabulator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
)

// Entry is a journal entry of the benchmark. Those with the command "score" hold a run
// of all standard days of a site.
type Entry struct {
	ID      string `json:"id"`
	Command string `json:"cmd"`
	Why     string `json:"why"`
	// Args holds the arguments of the command.
	Args []string `json:"argv"`
	// Head is the Git commit that was measured.
	Head string `json:"head"`
	Site string `json:"site"`
	// At holds the times of the start and the end.
	At []string `json:"at"`
	// Score is nil if the run was not scored.
	Score *float64 `json:"score"`
	Days  []Day    `json:"days"`
}

// Day is the result of one simulated day.
type Day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	// FullScoreWorth is the Worth from which on the score of the day is 1.
	FullScoreWorth float64  `json:"top"`
	Score          *float64 `json:"score"`
	// Rules holds the rules that were broken, by name.
	Rules   map[string]any `json:"rules"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	// Prices holds rows of a name, an amount and the share of Worth that it cost.
	Prices [][3]any `json:"prices"`
}

// maxShownPrices is the number of prices that are shown per day.
const maxShownPrices = 2

// Read returns the scored runs of whole sites from a journal folder, in the order of
// the file names, which start with the time.
func Read(folder string) ([]Entry, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("listing the journal: %w", err)
	}
	sort.Strings(names)
	var entries []Entry
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("reading the journal: %w", err)
		}
		var entry Entry
		if err := json.Unmarshal(text, &entry); err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
		if entry.scoresWholeFleet() {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// scoresWholeFleet reports whether the entry holds a score of a site at its full size.
// The small twins of large sites have marks and worth of their own.
func (e Entry) scoresWholeFleet() bool {
	return e.Command == "score" && len(e.Days) > 0 && e.Score != nil && !slices.Contains(e.Args, "--small")
}

// Write writes one table per site, which compares the newest run with the first, and
// then the notes.
func Write(out io.Writer, entries []Entry, notes string) error {
	first, newest := map[string]Entry{}, map[string]Entry{}
	for _, entry := range entries {
		if _, ok := first[entry.Site]; !ok {
			first[entry.Site] = entry
		}
		newest[entry.Site] = entry
	}
	sites := make([]string, 0, len(newest))
	for site := range newest {
		sites = append(sites, site)
	}
	sort.Strings(sites)
	var page strings.Builder
	page.WriteString("# Measures on the users' platform\n\nWritten by `standins platform-page` from the journal; do not edit.\n")
	for _, site := range sites {
		writeSite(&page, first[site], newest[site])
	}
	page.WriteString("\n" + notes)
	if _, err := io.WriteString(out, page.String()); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

// writeSite writes the table of one site.
func writeSite(page *strings.Builder, first, newest Entry) {
	fmt.Fprintf(page, "\n## %s\n\nScore %.2f (entry %s, version %.10s); first score %.2f (entry %s).\n\n",
		newest.Site, *newest.Score, newest.ID, newest.Head, *first.Score, first.ID)
	page.WriteString("| Day | Worth | First worth | Mark | Served | Refused | Failed | Rules broken | Largest prices |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	firstDays := map[string]Day{}
	for _, day := range first.Days {
		firstDays[day.Name] = day
	}
	for _, day := range newest.Days {
		firstWorth := "-"
		if firstDay, ok := firstDays[day.Name]; ok {
			firstWorth = fmt.Sprintf("%.3f", firstDay.Worth)
		}
		fmt.Fprintf(page, "| %s | %.3f | %s | %.3f | %.3f | %.3f | %.3f | %d | %s |\n", day.Name, day.Worth, firstWorth,
			day.FullScoreWorth, day.Served, day.Refused, day.Failed, len(day.Rules), strings.Join(largestPrices(day), ", "))
	}
}

// largestPrices returns the names and shares of the prices with the largest shares, at
// most maxShownPrices.
func largestPrices(day Day) []string {
	type price struct {
		name  string
		share float64
	}
	prices := make([]price, 0, len(day.Prices))
	for _, row := range day.Prices {
		name, _ := row[0].(string)
		share, _ := row[2].(float64)
		prices = append(prices, price{name: name, share: share})
	}
	sort.Slice(prices, func(i, j int) bool { return prices[i].share > prices[j].share })
	named := make([]string, 0, maxShownPrices)
	for _, p := range prices[:min(maxShownPrices, len(prices))] {
		named = append(named, fmt.Sprintf("%s %.3f", p.name, p.share))
	}
	return named
}
