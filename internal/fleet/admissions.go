package fleet

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// noteAdmitted counts a request that the coordinator has admitted, for its successors. The
// caller holds mu.
func (m *Member) noteAdmitted(r *PermitRequest) {
	if r.Team != "" && !r.Admitted {
		m.admissions.Count(time.Now(), m.term, r.Team)
	}
}

// admissionsToProto returns what coordinators admitted to this instance, for teams that
// have a rate limit. The caller holds mu.
func (m *Member) admissionsToProto(now time.Time) []*peerpb.AdmissionReport {
	index := m.fleet.Index()
	if index == nil {
		return nil
	}
	var out []*peerpb.AdmissionReport
	for _, r := range m.admissions.Reports(now) {
		if t := index.Team(r.Team); t == nil || t.Rate <= 0 {
			continue
		}
		out = append(out, &peerpb.AdmissionReport{
			Coordinator: r.Coordinator, Team: r.Team, Total: r.Total, Steps: r.Steps, StepAgeMs: uint32(r.StepAge.Milliseconds()),
		})
	}
	return out
}

// inheritAdmissions counts what earlier coordinators admitted to a member that joins. The
// caller holds mu.
func (c *coordinator) inheritAdmissions(now time.Time, member string, hello *peerpb.MemberHello) {
	var reports []dispatch.AdmissionReport
	for _, r := range hello.GetAdmissions() {
		reports = append(reports, dispatch.AdmissionReport{
			Coordinator: r.Coordinator, Team: r.Team, Total: r.Total, Steps: r.Steps, StepAge: time.Duration(r.StepAgeMs) * time.Millisecond,
		})
	}
	c.dispatcher.InheritAdmissions(now, hello.GetProcess(), reports)
	if time.Duration(hello.GetAgeMs())*time.Millisecond >= c.fleet.opts.Bounds.QuotaWindow {
		c.reported[member] = true
	}
}
