package simulation

import (
	"math"
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// Variant is a named change of the policy.
type Variant struct {
	Name string
	// What says what it changes.
	What   string
	Change func(*dispatch.Policy)
}

// never is a time that no day reaches.
const never = time.Hour

// Variants are the mechanisms switched off one at a time.
func Variants() []Variant {
	return []Variant{
		{"no-belief", "outcomes say nothing about a server", func(p *dispatch.Policy) { p.Belief.FailWhenBad = p.Belief.FailWhenGood }},
		{"no-order", "responses to requests sent before the last failed one count", func(p *dispatch.Policy) { p.Belief.IgnoreOrder = true }},
		{"no-prompt", "all failures are taken to show when the work would be done", func(p *dispatch.Policy) { p.Belief.PromptPrior, p.Belief.PromptWeight = 0, 1e9 }},
		{"no-canaries", "requests that may be repeated go to the least suspect server", func(p *dispatch.Policy) { p.Choice.CanaryWeight = p.Choice.RepeatableWeight }},
		{"no-path-checks", "a lost path is not told from a hanging server", func(p *dispatch.Policy) { p.Path.Disabled = true }},
		{"no-floor", "idle servers are not tested", func(p *dispatch.Policy) { p.Floor.ExploreAfter = never }},
		{"no-suspects", "requests that may be repeated wait for a trusted server", func(p *dispatch.Policy) { p.Choice.SuspectWait = never }},
		{"no-priority", "the queue is in the order of arrival", func(p *dispatch.Policy) { p.Admission.IgnorePriority = true }},
		{"no-objective", "requests past their objective are served in their turn", func(p *dispatch.Policy) { p.Admission.IgnoreObjective = true }},
		{"no-overload-refusal", "new requests are queued also under overload", func(p *dispatch.Policy) { p.Admission.OverloadLoad, p.Admission.SaturationLoad = 1e9, 1e9 }},
		{"no-shed-pause", "a server that shed a request gets the next one at once", func(p *dispatch.Policy) { p.Admission.ShedPause = 0 }},
		{"no-cold-ramp", "cold servers are not spared", func(p *dispatch.Policy) { p.Admission.ColdFactor = 1e9 }},
		{"no-quarantine", "requests that bring servers down are sent again", func(p *dispatch.Policy) { p.Crash.QuarantineDrops = math.MaxInt }},
		{"no-domain-preference", "any failure domain is as good", func(p *dispatch.Policy) { p.Choice.CrossDomainCost, p.Choice.CrossByteCost = 0, 0 }},
	}
}

// FindVariant returns the variant of a name.
func FindVariant(name string) (Variant, bool) {
	all := Variants()
	i := slices.IndexFunc(all, func(v Variant) bool { return v.Name == name })
	if i < 0 {
		return Variant{}, false
	}
	return all[i], true
}
