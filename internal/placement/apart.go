package placement

import (
	"cmp"
	"math"
)

// The rules of this file keep tasks apart that are known to slow each other down. They order workers and withhold none, and
// take effect only if View.Interference is set and a unit's step names an image.

// Interference holds the harm between images, the sum of the logarithms of the factors in both directions, by the two images in
// either order. An image without a known harmful pair has no entry.
type Interference map[string]map[string]float64

// Add adds that tasks of one image are known to take a number of times as long beside another one. A factor that cannot be
// valid counts as unknown.
func (x Interference) Add(suffers, beside string, factor float64) {
	if !(factor > 1) || math.IsInf(factor, 1) {
		return
	}
	add := func(a, b string) {
		if x[a] == nil {
			x[a] = map[string]float64{}
		}
		x[a][b] += math.Log(factor)
	}
	add(suffers, beside)
	add(beside, suffers) // Of an image beside itself the harm counts twice: both tasks suffer.
}

// harmSteps is the number of steps of harm for each factor of e. Estimates are about as exact as a step of a tenth, so that
// smaller differences do not decide.
const harmSteps = 10

// imageCount is the number of tasks of an image on a worker.
type imageCount struct {
	image int // See apart.numbers.
	count int32
}

// apart is what a decision knows of images. It is nil if no pair of them is known to be harmful.
type apart struct {
	numbers map[string]int // Of the images with a harmful pair.
	harm    [][]int32      // In steps, by the numbers of two images.
}

// prepareApart counts the images on all workers.
func (d *decision) prepareApart() {
	if len(d.view.Interference) == 0 {
		return
	}
	d.apart = &apart{numbers: make(map[string]int, len(d.view.Interference)), harm: make([][]int32, len(d.view.Interference))}
	for image := range d.view.Interference {
		d.apart.numbers[image] = len(d.apart.numbers)
	}
	for image, others := range d.view.Interference {
		row := make([]int32, len(d.apart.numbers))
		for other, harm := range others {
			row[d.apart.numbers[other]] = int32(math.Round(harmSteps * harm))
		}
		d.apart.harm[d.apart.numbers[image]] = row
	}
	for _, s := range d.slots {
		for image, count := range s.Images {
			d.countImage(s, image, count)
		}
	}
}

// countImage counts further tasks of an image on a worker.
func (d *decision) countImage(s *slot, image string, count int) {
	number, harmful := d.apart.numbers[image]
	if !harmful {
		return
	}
	for i := range s.images {
		if s.images[i].image == number {
			s.images[i].count += int32(count)
			return
		}
	}
	s.images = append(s.images, imageCount{number, int32(count)})
}

// considerApart makes a unit the one whose neighbours decide which workers are preferred.
func (d *decision) considerApart(u *Unit) {
	d.harmful = nil
	if d.apart == nil {
		return
	}
	if number, harmful := d.apart.numbers[u.step().Image]; harmful {
		d.harmful = d.apart.harm[number]
	}
}

// harm returns the harm, in steps, between the unit that is being placed and what runs on a worker or is placed there by this
// decision.
func (d *decision) harm(s *slot) int32 {
	if d.harmful == nil {
		return 0 // Without a call, for the many views without known harm.
	}
	return d.sumHarm(s)
}

func (d *decision) sumHarm(s *slot) int32 {
	total := int32(0)
	for _, x := range s.images {
		total += d.harmful[x.image] * x.count
	}
	return total
}

// compareApart prefers the worker with the least known harm, except that one on which the unit misses its objective because
// of its speed comes last.
func compareApart(a, b *slot) int {
	if a.harm == b.harm {
		return 0
	}
	return compareHarm(a, b)
}

func compareHarm(a, b *slot) int {
	misses := func(s *slot) int {
		if s.rank == rankMisses {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(misses(a), misses(b)), cmp.Compare(a.harm, b.harm))
}

// totalHarm returns the harm on the workers of a gang's members.
func totalHarm(slots []*slot) int {
	total := 0
	for _, s := range slots {
		total += int(s.harm)
	}
	return total
}
