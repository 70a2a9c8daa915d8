package load

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dotterelhitch/internal/httpx"
)

// MetricReport is one series of one source, before and after.
type MetricReport struct {
	Source string  `json:"source"`
	Series string  `json:"series"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// scrapeTimeout bounds the reading of one page.
const scrapeTimeout = 5 * time.Second

// scrape reads every source; one that doesn't answer gives nothing.
func (r *runner) scrape(ctx context.Context) []map[string]float64 {
	pages := make([]map[string]float64, len(r.experiment.Metrics))
	for i, source := range r.experiment.Metrics {
		page, err := r.readMetrics(ctx, source.URL)
		if err != nil {
			r.options.Logger.Warn("metrics", "source", source.Name, "error", err)
			continue
		}
		pages[i] = parseMetrics(page)
	}
	return pages
}

func (r *runner) readMetrics(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, httpx.TransportError(err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, httpx.TransportError(err)
	}
	defer resp.Body.Close()
	return httpx.ReadLimited(resp.Body, httpx.MaxJSONBytes)
}

// parseMetrics reads the text form: "name{labels} value" a line.
func parseMetrics(page []byte) map[string]float64 {
	out := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		value, err := strconv.ParseFloat(line[i+1:], 64)
		if err != nil {
			continue
		}
		out[line[:i]] = value
	}
	return out
}

// difference lists the series that the sources ask for.
func difference(sources []MetricsSource, before, after []map[string]float64) []MetricReport {
	var out []MetricReport
	for i, source := range sources {
		for series, value := range after[i] {
			if wanted(source.Series, series) {
				out = append(out, MetricReport{Source: source.Name, Series: series, Before: before[i][series], After: value})
			}
		}
	}
	slices.SortFunc(out, func(a, b MetricReport) int {
		return strings.Compare(a.Source+" "+a.Series, b.Source+" "+b.Series)
	})
	return out
}

func wanted(prefixes []string, series string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(series, p) })
}
