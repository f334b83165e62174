package fleet

import (
	"context"
	"testing"
)

// Guards against a restore of the store that goes unnoticed since another instance
// relays the calls.
func TestEraIsKnownThroughRelays(t *testing.T) {
	fleet := newTestFleet(t, 2)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.coordinators(-1)[0]
	fleet.store.mu.Lock()
	fleet.store.era = 7
	fleet.store.refusedInstances[fleet.instances[coordinator].opts.Self.Name] = true
	fleet.store.mu.Unlock()
	r := newStoreReader(fleet.instances[coordinator].coordinator)
	answer, err := r.callerVia(fleet.instances[1-coordinator].opts.Self.Address).Call(context.Background(), StoreCall{})
	if err != nil || answer.Era != 7 || r.era != 7 {
		t.Errorf("answer %+v, error %v, reader knows era %d, want 7", answer, err, r.era)
	}
}
