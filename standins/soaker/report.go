package soaker

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	plotWidth  = 1000.0
	plotHeight = 240.0
)

// writeReport writes the verdict and a page with a plot of the run.
func writeReport(options Options, verdict Verdict, answers []answer, began time.Time) error {
	summary := verdict.Summary()
	if err := os.WriteFile(filepath.Join(options.Folder, "verdict.txt"), []byte(summary), 0o600); err != nil {
		return fmt.Errorf("writing the verdict: %w", err)
	}
	var page strings.Builder
	fmt.Fprintf(&page, "<!DOCTYPE html><title>Soak %d</title><h1>Soak, seed %d</h1><pre>%s</pre>\n",
		options.Seed, options.Seed, html.EscapeString(summary))
	plot(&page, options, verdict.Plan, answers, began)
	fmt.Fprintf(&page, "<h2>Plan</h2><pre>%s</pre>\n", html.EscapeString(verdict.Plan.String()))
	if err := os.WriteFile(filepath.Join(options.Folder, "report.html"), []byte(page.String()), 0o600); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

// plot draws served, refused and failed requests a second, with the events marked.
func plot(page *strings.Builder, options Options, plan Plan, answers []answer, began time.Time) {
	seconds := int(options.Duration.Seconds()) + 1
	counts := map[string][]int{"green": make([]int, seconds), "orange": make([]int, seconds), "red": make([]int, seconds)}
	most := 1
	for _, got := range answers {
		second := int(got.Sent.Sub(began).Seconds())
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
		most = max(most, counts[color][second])
	}
	fmt.Fprintf(page, "<p>Requests a second: served green, refused orange, failed red; gray: events.</p>"+
		"<svg width=\"%.0f\" height=\"%.0f\" style=\"border:1px solid #888\">", plotWidth, plotHeight)
	scale := plotWidth / options.Duration.Seconds()
	for _, event := range plan {
		fmt.Fprintf(page, "<rect x=\"%.1f\" width=\"%.1f\" height=\"%.0f\" fill=\"#8882\"><title>%s</title></rect>",
			event.At.Seconds()*scale, max(1, event.Lasts.Seconds()*scale), plotHeight, html.EscapeString(event.String()))
	}
	for _, color := range []string{"green", "orange", "red"} {
		points := make([]string, 0, seconds)
		for second, count := range counts[color] {
			points = append(points, fmt.Sprintf("%.1f,%.1f", float64(second)*scale, plotHeight*(1-float64(count)/float64(most))))
		}
		fmt.Fprintf(page, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>", color, strings.Join(points, " "))
	}
	page.WriteString("</svg>\n")
}
