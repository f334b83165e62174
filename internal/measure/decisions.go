package measure

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// decision is a logged decision of an instance to avoid or eject a backend
// server.
type decision struct {
	At            time.Time
	Event, Server string
	Evidence      string
}

// Values of the key event in the instances' logs.
const (
	eventFailing = "server_failing"
	eventEjected = "server_ejected"
)

// readDecisions returns the decisions to avoid or eject servers from the logs
// of the instances.
func readDecisions(dir string) ([]decision, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	var list []decision
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var line struct {
				Fields struct {
					Event, Server, Evidence, From string
				} `json:"fields"`
				Timestamp time.Time `json:"timestamp"`
			}
			// Lines that are not JSON, such as the output of a panic, are skipped.
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				continue
			}
			if e := line.Fields.Event; e == eventFailing || e == eventEjected {
				list = append(list, decision{line.Timestamp, e, line.Fields.Server, line.Fields.Evidence})
			}
		}
		_ = f.Close()
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// attributeDecisions adds the times of the first decisions to each detection. It
// reports ejections in spans in which every server was healthy as false.
func (r *run) attributeDecisions(list []decision) {
	for i := range r.report.Detections {
		d := &r.report.Detections[i]
		fault := r.load.start.Add(d.at)
		first := func(event string) float64 {
			earliest := -1.0
			for _, x := range list {
				after := x.At.Sub(fault).Seconds()
				if x.Server == d.Server && x.Event == event && after >= 0 && after <= detectWithin.Seconds() && (earliest < 0 || after < earliest) {
					earliest = after
				}
			}
			return earliest
		}
		d.AvoidedAfter, d.EjectedAfter = first(eventFailing), first(eventEjected)
	}
	for name, span := range r.healthy {
		for _, x := range list {
			at := x.At.Sub(r.load.start)
			if x.Event == eventEjected && at >= span.From && at < span.To {
				r.report.FalseEjections = append(r.report.FalseEjections, name+": "+x.Server+" by its owner: "+x.Evidence)
			}
		}
	}
}
