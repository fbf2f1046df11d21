package measurer

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// Page collects figures and prints them as Markdown tables.
type Page struct {
	// figures are in the order in which they were read. A later line with the same figure name, policy
	// and pool replaces the earlier one.
	figures   []Figure
	positions map[string]int
}

// NewPage returns a page without figures.
func NewPage() *Page {
	return &Page{positions: map[string]int{}}
}

// Read adds the figures in the output of a measurement.
func (p *Page) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		figure, err := ParseFigure(lines.Text())
		if err != nil {
			return err
		}
		p.add(figure)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("reading figures: %w", err)
	}
	return nil
}

func (p *Page) add(figure Figure) {
	key := figure.Name + " " + figure.Policy + " " + figure.Pool
	if at, ok := p.positions[key]; ok {
		p.figures[at] = figure
		return
	}
	p.positions[key] = len(p.figures)
	p.figures = append(p.figures, figure)
}

// ParseFigure parses a line written by Figure.String.
func ParseFigure(line string) (Figure, error) {
	var f Figure
	_, err := fmt.Sscanf(line, "Figure=%s Policy=%s Baseline=%t Pool=%s Value=%g Unit=%s N=%d Seed=%d",
		&f.Name, &f.Policy, &f.Baseline, &f.Pool, &f.Value, &f.Unit, &f.N, &f.Seed)
	if err != nil {
		return Figure{}, fmt.Errorf("decoding %q: %w", line, err)
	}
	return f, nil
}

// Write prints one table per pool, with a row per figure and a column per policy.
func (p *Page) Write(w io.Writer) error {
	for _, pool := range p.distinct(func(f Figure) string { return f.Pool }) {
		if err := p.writePool(w, pool); err != nil {
			return fmt.Errorf("writing the table of %s: %w", pool, err)
		}
	}
	return nil
}

func (p *Page) distinct(of func(Figure) string) []string {
	var values []string
	seen := map[string]bool{}
	for _, figure := range p.figures {
		if value := of(figure); !seen[value] {
			seen[value] = true
			values = append(values, value)
		}
	}
	return values
}

func (p *Page) writePool(w io.Writer, pool string) error {
	part := NewPage()
	for _, figure := range p.figures {
		if figure.Pool == pool {
			part.add(figure)
		}
	}
	policies := part.distinct(func(f Figure) string { return f.Policy })
	_, err := fmt.Fprintf(w, "\n### Pool %s\n\n| Figure | Unit | N | %s |\n|---|---|---|%s\n",
		pool, strings.Join(policies, " | "), strings.Repeat("---|", len(policies)))
	if err != nil {
		return fmt.Errorf("writing the head: %w", err)
	}
	for _, name := range part.distinct(func(f Figure) string { return f.Name }) {
		if _, err := fmt.Fprintln(w, part.row(name, policies)); err != nil {
			return fmt.Errorf("writing a row: %w", err)
		}
	}
	return nil
}

func (p *Page) row(name string, policies []string) string {
	cells := make([]string, 0, len(policies))
	unit, minCount, maxCount := "", 0, 0
	for _, policy := range policies {
		cell := "-"
		for _, figure := range p.figures {
			if figure.Name == name && figure.Policy == policy {
				cell = fmt.Sprintf("%.4g", figure.Value)
				unit, maxCount = figure.Unit, max(maxCount, figure.N)
				if minCount == 0 || figure.N < minCount {
					minCount = figure.N
				}
			}
		}
		cells = append(cells, cell)
	}
	count := fmt.Sprint(maxCount)
	if minCount != maxCount {
		count = fmt.Sprintf("%d to %d", minCount, maxCount)
	}
	return fmt.Sprintf("| %s | %s | %s | %s |", name, unit, count, strings.Join(cells, " | "))
}
