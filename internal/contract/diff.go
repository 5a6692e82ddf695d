package contract

import (
	"fmt"
	"slices"
	"strconv"
)

// Diff describes what changes from the old contract to the new one, one sentence per effect. old is nil if the
// contract is added, and new is nil if it is deleted.
func Diff(old, new *Contract) []string {
	switch {
	case old == nil && new == nil:
		return nil
	case old == nil:
		added := fmt.Sprintf("Workspace %s is added; its highest class is %s, and the grace of preempted tasks %d s.",
			new.Workspace, classNames[new.HighestClass], new.GraceSeconds)
		none := &Contract{HighestClass: new.HighestClass, GraceSeconds: new.GraceSeconds}
		return append([]string{added}, effects(none, new)...)
	case new == nil:
		removed := fmt.Sprintf("Workspace %s is removed; its queued jobs are refused.", old.Workspace)
		return append([]string{removed}, guaranteeEffects(old, &Contract{})...)
	}
	return effects(old, new)
}

func effects(old, new *Contract) []string {
	out := guaranteeEffects(old, new)
	addIf := func(changed bool, format string, args ...any) {
		if changed {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	addIf(old.SurplusShare != new.SurplusShare, "The share of free capacity changes from %s to %s.",
		formatShare(old.SurplusShare), formatShare(new.SurplusShare))
	oldLimits, newLimits := old.Limits, new.Limits
	addIf(oldLimits.Queued != newLimits.Queued, "The limit of queued jobs in each zone changes from %s to %s.",
		formatLimit(float64(oldLimits.Queued)), formatLimit(float64(newLimits.Queued)))
	addIf(oldLimits.RunningAccelerators != newLimits.RunningAccelerators,
		"The limit of running accelerators in each zone changes from %s to %s.",
		formatLimit(float64(oldLimits.RunningAccelerators)), formatLimit(float64(newLimits.RunningAccelerators)))
	addIf(oldLimits.RequestsPerSecond != newLimits.RequestsPerSecond,
		"The limit of requests per second in each zone changes from %s to %s.",
		formatLimit(oldLimits.RequestsPerSecond), formatLimit(newLimits.RequestsPerSecond))
	addIf(old.HighestClass != new.HighestClass, "The highest class changes from %s to %s.",
		classNames[old.HighestClass], classNames[new.HighestClass])
	addIf(old.GraceSeconds != new.GraceSeconds, "The grace of preempted tasks changes from %d s to %d s.",
		old.GraceSeconds, new.GraceSeconds)
	added, removed := countMissing(new.TokensSHA256, old.TokensSHA256), countMissing(old.TokensSHA256, new.TokensSHA256)
	addIf(added > 0, "Caller tokens accepted in addition: %d.", added)
	addIf(removed > 0, "Caller tokens no longer accepted: %d.", removed)
	return out
}

func guaranteeEffects(old, new *Contract) []string {
	var out []string
	for _, g := range new.Guarantees {
		switch before := gangsOf(old, g); {
		case before == 0:
			out = append(out, fmt.Sprintf("Zone %s guarantees %d gangs of %s.", g.Zone, g.Gangs, describe(g)))
		case before != g.Gangs:
			out = append(out, fmt.Sprintf("The guarantee in zone %s of gangs of %s changes from %d to %d.",
				g.Zone, describe(g), before, g.Gangs))
		}
	}
	for _, g := range old.Guarantees {
		if gangsOf(new, g) == 0 {
			out = append(out, fmt.Sprintf("Zone %s no longer guarantees %d gangs of %s.", g.Zone, g.Gangs, describe(g)))
		}
	}
	return out
}

// gangsOf returns how many gangs a contract guarantees with the zone and shape of g.
func gangsOf(c *Contract, g Guarantee) int {
	for _, o := range c.Guarantees {
		if o.Zone == g.Zone && o.Shape() == g.Shape() {
			return o.Gangs
		}
	}
	return 0
}

func describe(g Guarantee) string {
	return fmt.Sprintf("%d x %d accelerators (adjacency %s)", g.GangSize, g.Accelerators, adjacencyNames[g.Adjacency])
}

func formatLimit(v float64) string {
	if v == 0 {
		return "none"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func formatShare(v int) string {
	if v == 0 {
		return "none"
	}
	return strconv.Itoa(v)
}

func countMissing(list, other []string) int {
	n := 0
	for _, s := range list {
		if !slices.Contains(other, s) {
			n++
		}
	}
	return n
}
