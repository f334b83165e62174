// Package plots draws results of the external benchmark as SVG: one simulated day
// from its report and the logs of its instances, or a sweep over fleet sizes.
package plots

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Window holds the results of requests in one time window of a day.
type Window struct {
	// From is the start of the window in seconds since the start of traffic.
	From float64
	// Requests, Refused and Failed are counts.
	Requests, Refused, Failed float64
	// Worth is the score of the benchmark: the credit earned as a share of the
	// credit owed, from 0 to 1.
	Worth float64
}

// Event is a fault or planned maintenance. From and To are in seconds since the
// start of traffic.
type Event struct {
	From, To float64
	Kind     string
}

// Day is the report of the benchmark on one simulated day.
type Day struct {
	Windows []Window
	Events  []Event
}

// ReadDay reads a report that the benchmark wrote with --report.
func ReadDay(r io.Reader) (*Day, error) {
	var in struct {
		Windows []struct {
			Name     string   `json:"name"`
			Requests float64  `json:"n"`
			Refused  float64  `json:"refused"`
			Failed   float64  `json:"failed"`
			Worth    *float64 `json:"worth"`
		} `json:"windows"`
		Events []struct {
			From float64 `json:"at_s"`
			To   float64 `json:"to_s"`
			Kind string  `json:"kind"`
		} `json:"events"`
	}
	if err := json.NewDecoder(r).Decode(&in); err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	d := &Day{}
	for _, w := range in.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("read report: window %q has no start in seconds", w.Name)
		}
		if w.Worth == nil {
			continue // no credit was owed in this window
		}
		d.Windows = append(d.Windows, Window{From: from, Requests: w.Requests, Refused: w.Refused, Failed: w.Failed, Worth: *w.Worth})
	}
	if len(d.Windows) == 0 {
		return nil, errors.New("read report: no window with requests")
	}
	for _, e := range in.Events {
		d.Events = append(d.Events, Event(e))
	}
	return d, nil
}

// SuspicionChange records that the coordinator began or stopped suspecting a
// backend server of failing.
type SuspicionChange struct {
	// At is the time in seconds since the start of traffic.
	At        float64
	Server    string
	Suspected bool
}

// maxLine is the maximum length of an input line in bytes.
const maxLine = 1 << 20

// ReadSuspicionChanges reads the changes from the logs of instances, as the
// benchmark prints them with --log: seconds, instance, then the log line as JSON.
// Other lines are skipped.
func ReadSuspicionChanges(r io.Reader) ([]SuspicionChange, error) {
	var out []SuspicionChange
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		fields := strings.SplitN(strings.TrimSpace(s.Text()), " ", 3)
		if len(fields) < 3 || !strings.HasPrefix(fields[2], "{") {
			continue
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			continue
		}
		var line struct {
			Fields struct {
				Event  string `json:"event"`
				Server string `json:"server"`
			} `json:"fields"`
		}
		if json.Unmarshal([]byte(fields[2]), &line) != nil {
			continue
		}
		switch line.Fields.Event {
		case "server_suspected", "server_trusted":
			out = append(out, SuspicionChange{At: at, Server: line.Fields.Server, Suspected: line.Fields.Event == "server_suspected"})
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

// SizeResult is the result of a sweep for one fleet size.
type SizeResult struct {
	Instances int
	// Worth is as in Window, but may be negative. Served, Refused and Failed
	// are shares of the requests.
	Worth, Served, Refused, Failed float64
	// BrokenRules lists the benchmark rules that were violated; empty if none.
	BrokenRules string
}

// sweepRow matches a row of the sweep's table: name, instances/servers, score,
// worth, served, refused, failed, and the rest of the line.
var sweepRow = regexp.MustCompile(`^sweep-\d+\s+(\d+)/\d+\s+\S+\s+(-?[\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)(.*)$`)

// ReadSweep reads the table that a sweep of the benchmark prints.
func ReadSweep(r io.Reader) ([]SizeResult, error) {
	var out []SizeResult
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		m := sweepRow.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		instances, err := strconv.Atoi(m[1])
		if err != nil {
			return nil, fmt.Errorf("read sweep: %w", err)
		}
		size := SizeResult{Instances: instances}
		for i, v := range []*float64{&size.Worth, &size.Served, &size.Refused, &size.Failed} {
			if *v, err = strconv.ParseFloat(m[i+2], 64); err != nil {
				return nil, fmt.Errorf("read sweep: %w", err)
			}
		}
		if _, broken, ok := strings.Cut(m[6], "BROKEN: "); ok {
			size.BrokenRules, _, _ = strings.Cut(broken, " (")
		}
		out = append(out, size)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read sweep: %w", err)
	}
	if len(out) == 0 {
		return nil, errors.New("read sweep: no row for any fleet size")
	}
	return out, nil
}
