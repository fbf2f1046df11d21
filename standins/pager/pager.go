// Package pager writes the page of measures on the users' platform from the
// journal of the plays.
package pager

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

// Entry is one play of the standard days of a site, as the journal holds it.
type Entry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Why     string   `json:"why"`
	Head    string   `json:"head"`
	Site    string   `json:"site"`
	At      []string `json:"at"`
	Score   *float64 `json:"score"`
	Days    []Day    `json:"days"`
}

// Day is one day of a play.
type Day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	// Top is the worth at which the day's score is 1.
	Top     float64        `json:"top"`
	Score   *float64       `json:"score"`
	Rules   map[string]any `json:"rules"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Prices  [][3]any       `json:"prices"`
}

// shownPrices is how many of a day's prices the page names.
const shownPrices = 2

// Read returns the plays of whole sites in a journal, in order of time.
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
		if entry.Command == "score" && len(entry.Days) > 0 && entry.Score != nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// Write writes the newest play of each site beside its first.
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

func writeSite(page *strings.Builder, first, newest Entry) {
	fmt.Fprintf(page, "\n## %s\n\nScore %.2f (entry %s, version %.10s); first score %.2f (entry %s).\n\n",
		newest.Site, *newest.Score, newest.ID, newest.Head, *first.Score, first.ID)
	page.WriteString("| Day | Worth | First worth | Mark | Served | Refused | Failed | Rules broken | Largest prices |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	before := map[string]Day{}
	for _, day := range first.Days {
		before[day.Name] = day
	}
	for _, day := range newest.Days {
		earlier := "-"
		if known, ok := before[day.Name]; ok {
			earlier = fmt.Sprintf("%.3f", known.Worth)
		}
		fmt.Fprintf(page, "| %s | %.3f | %s | %.3f | %.3f | %.3f | %.3f | %d | %s |\n", day.Name, day.Worth, earlier,
			day.Top, day.Served, day.Refused, day.Failed, len(day.Rules), strings.Join(largest(day), ", "))
	}
}

// largest names the prices that took most.
func largest(day Day) []string {
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
	named := make([]string, 0, shownPrices)
	for _, next := range prices[:min(shownPrices, len(prices))] {
		named = append(named, fmt.Sprintf("%s %.3f", next.name, next.share))
	}
	return named
}
