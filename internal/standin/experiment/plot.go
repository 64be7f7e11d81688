package experiment

import (
	"image/color"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"crocusyoke/internal/standin/check"
)

const (
	// bucketLength is the time that one point of a plot covers.
	bucketLength = 250 * time.Millisecond
	// plotWidth and plotHeight are the size of one panel.
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// panelCount is the number of panels, which are drawn one below the other.
	panelCount = 2
)

// WritePlot writes a PNG file to path that shows throughput, latency and the events over time.
func (rep *Report) WritePlot(path string) error {
	throughput, err := rep.throughputPanel()
	if err != nil {
		return Error.Wrap(err)
	}
	latency, err := rep.latencyPanel()
	if err != nil {
		return Error.Wrap(err)
	}
	canvas := vgimg.New(plotWidth, panelCount*plotHeight)
	tiles := draw.Tiles{Rows: panelCount, Cols: 1, PadY: vg.Millimeter}
	grid := plot.Align([][]*plot.Plot{{throughput}, {latency}}, tiles, draw.New(canvas))
	throughput.Draw(grid[0][0])
	latency.Draw(grid[1][0])
	return Error.Wrap(savePNG(path, canvas))
}

// forEachBucket calls each for every bucket of time, in order, with the start of the bucket in
// seconds and the operations that ended in it.
func (rep *Report) forEachBucket(each func(at float64, ops []*check.Op)) {
	buckets := make([][]*check.Op, rep.Length.Std()/bucketLength+1)
	for i := range rep.ops {
		n := int(rep.ops[i].End / bucketLength)
		if n < len(buckets) {
			buckets[n] = append(buckets[n], &rep.ops[i])
		}
	}
	for n, ops := range buckets {
		each((time.Duration(n) * bucketLength).Seconds(), ops)
	}
}

func (rep *Report) throughputPanel() (*plot.Plot, error) {
	var ok, refused, unknown plotter.XYs
	rep.forEachBucket(func(at float64, ops []*check.Op) {
		counts := make(map[check.Outcome]float64)
		for _, op := range ops {
			counts[op.Outcome]++
		}
		perSecond := 1 / bucketLength.Seconds()
		ok = append(ok, plotter.XY{X: at, Y: counts[check.OK] * perSecond})
		refused = append(refused, plotter.XY{X: at, Y: counts[check.NotRun] * perSecond})
		unknown = append(unknown, plotter.XY{X: at, Y: (counts[check.Unknown] + counts[check.Failed]) * perSecond})
	})
	p := plot.New()
	p.Title.Text = rep.Plan + " (" + rep.Policy + ")"
	p.Y.Label.Text = "operations/s"
	return p, rep.addSeries(p, []series{{"ok", ok, green}, {"not run", refused, orange}, {"unknown or failed", unknown, red}})
}

func (rep *Report) latencyPanel() (*plot.Plot, error) {
	var p50, p99 plotter.XYs
	rep.forEachBucket(func(at float64, ops []*check.Op) {
		h := newHistogram()
		for _, op := range ops {
			if op.Outcome == check.OK {
				recordLatency(h, op.End-op.Start)
			}
		}
		p50 = append(p50, point(at, h, 50))
		p99 = append(p99, point(at, h, 99))
	})
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "latency, ms"
	return p, rep.addSeries(p, []series{{"p50", p50, blue}, {"p99", p99, orange}})
}

func point(at float64, h *hdrhistogram.Histogram, q float64) plotter.XY {
	return plotter.XY{X: at, Y: float64(quantile(h, q).Std().Microseconds()) / 1000}
}

// series is one line of a panel.
type series struct {
	name   string
	points plotter.XYs
	color  color.Color
}

var (
	green  = color.RGBA{R: 40, G: 140, B: 60, A: 255}
	orange = color.RGBA{R: 220, G: 130, B: 20, A: 255}
	red    = color.RGBA{R: 200, G: 30, B: 30, A: 255}
	blue   = color.RGBA{R: 40, G: 80, B: 200, A: 255}
	gray   = color.RGBA{R: 150, G: 150, B: 150, A: 255}
)

// addSeries adds the lines of all series to p, and a vertical dashed line for each event.
func (rep *Report) addSeries(p *plot.Plot, all []series) error {
	top := 1.0
	for _, s := range all {
		line, err := plotter.NewLine(s.points)
		if err != nil {
			return err
		}
		line.Color = s.color
		p.Add(line)
		p.Legend.Add(s.name, line)
		for _, xy := range s.points {
			top = max(top, xy.Y)
		}
	}
	for _, event := range rep.Events {
		at := event.At.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return err
		}
		mark.Color = gray
		mark.Dashes = []vg.Length{vg.Millimeter, vg.Millimeter}
		p.Add(mark)
	}
	p.Legend.Top = true
	return nil
}

func savePNG(path string, canvas *vgimg.Canvas) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(file)
	return errs.Combine(err, file.Close())
}
