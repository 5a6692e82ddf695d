// Package share is the rule by which capacity is divided that not all claimants can have: the next one to get some is the one
// that uses least relative to its weight.
package share

import (
	"cmp"
	"math"
)

// Claim is a claimant that waits for capacity.
type Claim struct {
	Use    float64 // What it uses, relative to its weight, see Relative and Rounds.
	Oldest uint64  // Position of its oldest waiting work.
}

// Compare orders claims: the one with the least use relative to its weight is next, of equal ones that with the oldest work.
func Compare(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Use, b.Use), cmp.Compare(a.Oldest, b.Oldest))
}

// Weight returns the weight that counts for proportions: 1 for a claimant without one.
func Weight(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// Relative returns a use relative to a weight.
func Relative(used, weight float64) float64 { return used / Weight(weight) }

// maxRounds bounds the result of Rounds. Beyond it, claimants are so far above their shares that their order does not matter.
const maxRounds = 1 << 20

// Rounds returns how many whole shares of a total are used, if the weights of all claimants sum up to the given sum. It is used
// instead of Relative where work that waits for long should go first unless its owner has used up its share.
func Rounds(used, weight, sum float64) float64 {
	return math.Min(maxRounds, math.Floor(Relative(used, weight)*sum))
}
