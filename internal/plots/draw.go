package plots

import (
	"fmt"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"trefoilstream.example/trefoilstream/internal/losses"
)

// Dimensions of a panel on the page.
const (
	panelWidth  = 22 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	margin      = vg.Centimeter
)

// eventColor shades the time span of a fault or of planned maintenance.
var eventColor = color.NRGBA{R: 120, G: 120, B: 120, A: 24}

// DrawDay plots worth, refusals and failures, and the number of suspected backend
// servers over the time of a day. Without changes the last panel is omitted.
func DrawDay(w io.Writer, d *Day, changes []SuspicionChange) error {
	worth := make(plotter.XYs, len(d.Windows))
	refused := make(plotter.XYs, len(d.Windows))
	failed := make(plotter.XYs, len(d.Windows))
	for i, x := range d.Windows {
		worth[i] = plotter.XY{X: x.From, Y: x.Worth}
		refused[i] = plotter.XY{X: x.From, Y: share(x.Refused, x.Requests)}
		failed[i] = plotter.XY{X: x.From, Y: share(x.Failed, x.Requests)}
	}
	end := d.Windows[len(d.Windows)-1].From
	panels := []*plot.Plot{
		panel("Worth: credit earned as a share of credit owed", "share", 1),
		panel("Requests that were not served", "share", 0),
	}
	if err := plotutil.AddLines(panels[0], "worth", worth); err != nil {
		return fmt.Errorf("draw worth: %w", err)
	}
	if err := plotutil.AddLines(panels[1], "refused", refused, "failed", failed); err != nil {
		return fmt.Errorf("draw refusals: %w", err)
	}
	if len(changes) > 0 {
		p := panel("Backend servers that are suspected", "servers", 0)
		if err := plotutil.AddLines(p, "suspected", suspected(changes)); err != nil {
			return fmt.Errorf("draw detection: %w", err)
		}
		panels = append(panels, p)
	}
	for _, p := range panels {
		p.X.Label.Text = "seconds of traffic"
		p.X.Min, p.X.Max = 0, end
		if err := shade(p, d.Events, end); err != nil {
			return err
		}
	}
	return write(w, panels)
}

// DrawLosses plots the losses of each second, by what callers met.
func DrawLosses(w io.Writer, a *losses.Account) error {
	_, counts := a.Series(time.Second)
	p := panel("Requests lost in each second", "requests", 0)
	for i, e := range []losses.Effect{losses.Failed, losses.Held, losses.Refused, losses.Late} {
		if counts[e] == nil {
			continue
		}
		points := make(plotter.XYs, len(counts[e]))
		for at, n := range counts[e] {
			points[at] = plotter.XY{X: float64(at), Y: float64(n)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw losses: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(e), line)
	}
	p.X.Label.Text = "seconds"
	return write(w, []*plot.Plot{p})
}

// DrawSweep plots worth and the shares of requests served, refused and failed
// over the number of instances.
func DrawSweep(w io.Writer, sizes []SizeResult) error {
	series := map[string]plotter.XYs{}
	ticks := plot.ConstantTicks{}
	for _, s := range sizes {
		x := float64(s.Instances)
		label := fmt.Sprint(s.Instances)
		if s.BrokenRules != "" {
			label += " (broken: " + s.BrokenRules + ")"
		}
		ticks = append(ticks, plot.Tick{Value: x, Label: label})
		for name, y := range map[string]float64{"worth": s.Worth, "served": s.Served, "refused": s.Refused, "failed": s.Failed} {
			series[name] = append(series[name], plotter.XY{X: x, Y: y})
		}
	}
	panels := []*plot.Plot{
		panel("Worth and served requests by size of the fleet", "share", 1),
		panel("Requests that were not served", "share", 0),
	}
	if err := plotutil.AddLinePoints(panels[0], "worth", series["worth"], "served", series["served"]); err != nil {
		return fmt.Errorf("draw worth: %w", err)
	}
	if err := plotutil.AddLinePoints(panels[1], "refused", series["refused"], "failed", series["failed"]); err != nil {
		return fmt.Errorf("draw refusals: %w", err)
	}
	for _, p := range panels {
		p.X.Label.Text = "instances"
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = ticks
	}
	return write(w, panels)
}

// panel returns an empty plot whose Y axis reaches from 0 to at least minTop.
func panel(title, unit string, minTop float64) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min, p.Y.Max = 0, minTop
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// shade marks the time span of each event.
func shade(p *plot.Plot, events []Event, end float64) error {
	for _, e := range events {
		from, to := max(0, e.From), min(end, e.To)
		if from >= to {
			continue
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: p.Y.Min}, {X: to, Y: p.Y.Min}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("draw event %q: %w", e.Kind, err)
		}
		box.Color = eventColor
		box.Width = 0
		p.Add(box)
	}
	return nil
}

// suspected returns the number of suspected servers over time, as a step function.
func suspected(changes []SuspicionChange) plotter.XYs {
	now := make(map[string]bool)
	var out plotter.XYs
	for _, c := range changes {
		before := float64(len(now))
		if c.Suspected {
			now[c.Server] = true
		} else {
			delete(now, c.Server)
		}
		out = append(out, plotter.XY{X: c.At, Y: before}, plotter.XY{X: c.At, Y: float64(len(now))})
	}
	return out
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// write draws the panels in one column and writes them as SVG.
func write(w io.Writer, panels []*plot.Plot) error {
	height := panelHeight * vg.Length(len(panels))
	canvas := vgsvg.New(panelWidth, height)
	page := draw.New(canvas)
	for i, p := range panels {
		top := height - panelHeight*vg.Length(i)
		p.Draw(draw.Crop(page, margin, -margin, top-panelHeight, top-height))
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
