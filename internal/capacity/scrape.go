package capacity

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// sample is one value in the Prometheus text format.
type sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// samples holds the values of one response to /metrics.
type samples []sample

// sum returns the sum of the values of a metric whose labels include the given pairs of name and value.
func (s samples) sum(name string, pairs ...string) float64 {
	total := 0.0
	for _, v := range s {
		if v.Name == name && v.has(pairs) {
			total += v.Value
		}
	}
	return total
}

func (s sample) has(pairs []string) bool {
	for i := 0; i+1 < len(pairs); i += 2 {
		if s.Labels[pairs[i]] != pairs[i+1] {
			return false
		}
	}
	return true
}

// parseSamples parses the Prometheus text format, version 0.0.4, without timestamps.
func parseSamples(in io.Reader) (samples, error) {
	var out samples
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		s, err := parseSample(line)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, eris.Wrap(lines.Err(), "read metrics")
}

func parseSample(line string) (sample, error) {
	cut := strings.LastIndexByte(line, ' ')
	if cut < 0 {
		return sample{}, eris.Errorf("metric without a value: %q", line)
	}
	value, err := strconv.ParseFloat(line[cut+1:], 64)
	if err != nil {
		return sample{}, eris.Wrapf(err, "value of %q", line)
	}
	name, labels, found := strings.Cut(line[:cut], "{")
	s := sample{Name: name, Value: value, Labels: map[string]string{}}
	if !found {
		return s, nil
	}
	labels, closed := strings.CutSuffix(labels, "}")
	if !closed {
		return sample{}, eris.Errorf("labels are not closed: %q", line)
	}
	return s, s.parseLabels(labels)
}

func (s *sample) parseLabels(text string) error {
	for text != "" {
		key, rest, found := strings.Cut(text, "=")
		quoted, err := strconv.QuotedPrefix(rest)
		if !found || err != nil {
			return eris.Errorf("label without a quoted value: %q", text)
		}
		if s.Labels[key], err = strconv.Unquote(quoted); err != nil {
			return eris.Wrap(err, "label value")
		}
		text = strings.TrimPrefix(rest[len(quoted):], ",")
	}
	return nil
}

// scrape requests /metrics of a host.
func scrape(ctx context.Context, address string) (samples, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "read metrics")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("metrics of %s: status %d", address, response.StatusCode)
	}
	return parseSamples(response.Body)
}
