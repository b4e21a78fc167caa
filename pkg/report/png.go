package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Size of a PNG chart; at 96 dots per inch this is 960 by 384 pixels.
const (
	pngWidth  = 10 * vg.Inch
	pngHeight = 4 * vg.Inch
)

// palette holds colors that remain distinct with the common color vision
// deficiencies (Okabe and Ito).
var palette = []color.RGBA{
	{0x00, 0x72, 0xb2, 0xff},
	{0xd5, 0x5e, 0x00, 0xff},
	{0x00, 0x9e, 0x73, 0xff},
	{0xcc, 0x79, 0xa7, 0xff},
	{0xe6, 0x9f, 0x00, 0xff},
	{0x56, 0xb4, 0xe9, 0xff},
}

// WritePNGs writes each chart that has data to prefix-<id>.png and returns the
// names of the files.
func WritePNGs(prefix string, r *Report) ([]string, error) {
	var files []string
	for _, c := range r.Charts {
		if c.Missing != "" {
			continue
		}
		name := prefix + "-" + c.ID + ".png"
		p, err := plotOf(c)
		if err == nil {
			err = p.Save(pngWidth, pngHeight, name)
		}
		if err != nil {
			return files, errkind.Wrap(err, errkind.Internal, "%s cannot be written", name)
		}
		files = append(files, name)
	}
	return files, nil
}

func plotOf(c Chart) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = c.Title, c.Unit
	p.Title.Padding = vg.Points(6)
	p.X.Tick.Marker = plot.TickerFunc(plotTicks)
	p.Legend.Top, p.Legend.XOffs = true, -vg.Points(8)
	p.Add(plotter.NewGrid())
	for i, s := range c.Series {
		line, points, err := plotter.NewLinePoints(xys(s))
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = colorOf(c, i), vg.Points(1.5)
		points.Color, points.Radius = line.Color, vg.Points(1.5)
		if s.Dashed {
			line.Dashes = []vg.Length{vg.Points(5), vg.Points(4)}
			p.Add(line)
		} else {
			p.Add(line, points)
		}
		p.Legend.Add(s.Name, line)
	}
	p.Y.Min = 0
	if c.Share {
		p.Y.Max = 1
		p.Legend.Top = false
	} else {
		p.Y.Max = max(p.Y.Max*1.3, 1e-3) // leaves room for the legend
	}
	return p, nil
}

func xys(s Series) plotter.XYs {
	out := make(plotter.XYs, len(s.Points))
	for i, p := range s.Points {
		out[i].X, out[i].Y = float64(p.At.Unix()), p.Value
	}
	return out
}

// colorOf gives a dashed guarantee the color of the workspace's solid line.
func colorOf(c Chart, i int) color.RGBA {
	if c.Series[i].Dashed {
		for j, s := range c.Series {
			if !s.Dashed && c.Series[i].Name == s.Name+" guaranteed" {
				i = j
				break
			}
		}
	}
	return palette[i%len(palette)]
}
