package plots

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

const report = `{
 "windows": [
  {"name": "0", "n": 100, "refused": 10, "failed": 5, "worth": 0.9},
  {"name": "2", "n": 0, "refused": 0, "failed": 0, "worth": null},
  {"name": "4", "n": 50, "refused": 0, "failed": 0, "worth": 1.0}
 ],
 "events": [{"at_s": 1.0, "to_s": 3.5, "kind": "burst"}, {"at_s": 90, "to_s": 95, "kind": "late"}]
}`

const logs = `note: not a line of an instance
   0.5000 front-1 {"fields":{"event":"server_suspected","server":"s1"}}
   0.7000 front-1 {"fields":{"event":"server_suspected","server":"s2"}}
   0.8000 front-1 {"fields":{"event":"attached"}}
   1.5000 front-1 {"fields":{"event":"server_trusted","server":"s1"}}
`

const sweep = `day                  own/srv  score  worth served refused failed  weakest part
sweep-30              31/301   0.66  0.662  0.886   0.000  0.069  nines 0.50; prices 0.067
sweep-100             98/999   0.00  -0.451  0.725   0.042  0.130  nines 0.33  BROKEN: CONFIG 11, DENIED 2 (else 0.44)
`

// Guards against values that are read from the wrong field, column or time.
func TestRead(t *testing.T) {
	d, err := ReadDay(strings.NewReader(report))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Window{From: 0, Requests: 100, Refused: 10, Failed: 5, Worth: 0.9}); len(d.Windows) != 2 || d.Windows[0] != want {
		t.Errorf("windows %+v", d.Windows)
	}
	if len(d.Events) != 2 || d.Events[0] != (Event{From: 1, To: 3.5, Kind: "burst"}) {
		t.Errorf("events %+v", d.Events)
	}
	changes, err := ReadSuspicionChanges(strings.NewReader(logs))
	if err != nil || len(changes) != 3 || changes[2] != (SuspicionChange{At: 1.5, Server: "s1"}) {
		t.Errorf("changes %+v, %v", changes, err)
	}
	if s := suspected(changes); s[len(s)-1].Y != 1 || s[3].Y != 2 {
		t.Errorf("suspected %v", s)
	}
	sizes, err := ReadSweep(strings.NewReader(sweep))
	if err != nil || len(sizes) != 2 {
		t.Fatalf("sizes %+v, %v", sizes, err)
	}
	if want := (SizeResult{Instances: 98, Worth: -0.451, Served: 0.725, Refused: 0.042, Failed: 0.13, BrokenRules: "CONFIG 11, DENIED 2"}); sizes[1] != want {
		t.Errorf("size %+v, want %+v", sizes[1], want)
	}
}

// Guards against input in another format that is accepted and drawn as an empty
// plot.
func TestReadRefusesOtherInput(t *testing.T) {
	for _, in := range []string{"", "{", "{}", `{"windows": [{"name": "x", "worth": 1}]}`, `{"windows": [{"name": "1"}]}`} {
		if _, err := ReadDay(strings.NewReader(in)); err == nil {
			t.Errorf("report %q was accepted", in)
		}
	}
	if _, err := ReadSweep(strings.NewReader(logs)); err == nil {
		t.Error("a log was accepted as a sweep")
	}
}

// Guards against output that is not well-formed SVG or lacks a series.
func TestDrawnFilesAreWhole(t *testing.T) {
	d, err := ReadDay(strings.NewReader(report))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := ReadSuspicionChanges(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	sizes, err := ReadSweep(strings.NewReader(sweep))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		draw func(io.Writer) error
		want []string
	}{
		"day":           {func(w io.Writer) error { return DrawDay(w, d, changes) }, []string{"worth", "refused", "failed", "suspected"}},
		"day, no logs":  {func(w io.Writer) error { return DrawDay(w, d, nil) }, []string{"worth", "refused", "failed"}},
		"sweep":         {func(w io.Writer) error { return DrawSweep(w, sizes) }, []string{"served", "98 (broken: CONFIG 11, DENIED 2)"}},
		"one size only": {func(w io.Writer) error { return DrawSweep(w, sizes[:1]) }, []string{"31"}},
	} {
		var out bytes.Buffer
		if err := c.draw(&out); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for _, s := range c.want {
			if !strings.Contains(out.String(), s) {
				t.Errorf("%s: %q is not in the file", name, s)
			}
		}
		decoder := xml.NewDecoder(&out)
		for {
			if _, err := decoder.Token(); err != nil {
				if !errors.Is(err, io.EOF) {
					t.Errorf("%s: %v", name, err)
				}
				break
			}
		}
	}
}
