package fleet

import (
	"context"

	"github.com/apex/log"
)

// eraObserver notes the era of each response of the store.
type eraObserver struct {
	reader *storeReader
	caller StoreCaller
}

// Call implements StoreCaller.
func (o *eraObserver) Call(ctx context.Context, c StoreCall) (StoreAnswer, error) {
	answer, err := o.caller.Call(ctx, c)
	if err == nil {
		o.reader.noteEra(answer.Era)
	}
	return answer, err
}

// noteEra logs that the store has come back from an older copy of itself.
func (r *storeReader) noteEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.era != 0 && era > r.era {
		log.WithFields(log.Fields{"event": "store_restored", "era": era, "before": r.era}).Warn("the store has lost its last records")
	}
	r.era = max(r.era, era)
}
