package soaker

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Size of the plot in pixels.
const (
	plotWidth  = 1000.0
	plotHeight = 240.0
)

// writeReport writes the verdict as text and an HTML page with a plot of the run.
func writeReport(options Options, verdict Verdict, answers []answer, startTime time.Time) error {
	summary := verdict.Summary()
	if err := os.WriteFile(filepath.Join(options.Folder, "verdict.txt"), []byte(summary), 0o600); err != nil {
		return fmt.Errorf("writing the verdict: %w", err)
	}
	var page strings.Builder
	fmt.Fprintf(&page, "<!DOCTYPE html><title>Soak %d</title><h1>Soak, seed %d</h1><pre>%s</pre>\n",
		options.Seed, options.Seed, html.EscapeString(summary))
	writePlot(&page, options, verdict.Plan, answers, startTime)
	fmt.Fprintf(&page, "<h2>Plan</h2><pre>%s</pre>\n", html.EscapeString(verdict.Plan.String()))
	if err := os.WriteFile(filepath.Join(options.Folder, "report.html"), []byte(page.String()), 0o600); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

// writePlot writes an SVG plot of served, refused and failed requests per second,
// with the events as shaded areas.
func writePlot(page *strings.Builder, options Options, plan Plan, answers []answer, startTime time.Time) {
	seconds := int(options.Duration.Seconds()) + 1
	counts := map[string][]int{"green": make([]int, seconds), "orange": make([]int, seconds), "red": make([]int, seconds)}
	peak := 1
	for _, got := range answers {
		second := int(got.Sent.Sub(startTime).Seconds())
		if second < 0 || second >= seconds {
			continue
		}
		color := "red"
		switch got.Status {
		case 200:
			color = "green"
		case 503, 429:
			color = "orange"
		}
		counts[color][second]++
		peak = max(peak, counts[color][second])
	}
	fmt.Fprintf(page, "<p>Requests a second: served green, refused orange, failed red; gray: events.</p>"+
		"<svg width=\"%.0f\" height=\"%.0f\" style=\"border:1px solid #888\">", plotWidth, plotHeight)
	scale := plotWidth / options.Duration.Seconds()
	for _, event := range plan {
		fmt.Fprintf(page, "<rect x=\"%.1f\" width=\"%.1f\" height=\"%.0f\" fill=\"#8882\"><title>%s</title></rect>",
			event.At.Seconds()*scale, max(1, event.Length.Seconds()*scale), plotHeight, html.EscapeString(event.String()))
	}
	for _, color := range []string{"green", "orange", "red"} {
		points := make([]string, 0, seconds)
		for second, count := range counts[color] {
			points = append(points, fmt.Sprintf("%.1f,%.1f", float64(second)*scale, plotHeight*(1-float64(count)/float64(peak))))
		}
		fmt.Fprintf(page, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>", color, strings.Join(points, " "))
	}
	page.WriteString("</svg>\n")
}
