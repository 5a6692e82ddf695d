// Package capacity measures what a deployment costs on each host: processor time, memory and bytes on the wire. It runs
// the shipped daemons as real processes on loopback, fits lines to the values at several sizes of the deployment and
// prints the tables of slopes.
package capacity

import (
	"math"

	"github.com/rotisserie/eris"
)

// Point is the value Y measured at the size X.
type Point struct{ X, Y float64 }

// Line is a least-squares fit of y = Base + Slope*x.
type Line struct {
	Base, Slope float64
	R2          float64 // Share of the variance that the line explains; 1 if y does not vary.
}

// Fit returns the least-squares line through the points. It needs two different sizes.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
		yy += (p.Y - meanY) * (p.Y - meanY)
	}
	if len(points) < 2 || xx == 0 {
		return Line{}, eris.New("a fit needs two different sizes")
	}
	l := Line{Slope: xy / xx, R2: 1}
	l.Base = meanY - l.Slope*meanX
	if yy > 0 {
		l.R2 = math.Min(1, xy*xy/(xx*yy))
	}
	return l, nil
}

// At returns the value of the line at a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }
