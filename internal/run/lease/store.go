package lease

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/platform"
)

// noteStoreTime records the store's clock from the response to a call that was sent at
// sentAt.
func (k *Keeper) noteStoreTime(storeTime time.Duration, sentAt time.Time) {
	if storeTime <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeTime, k.storeTimeSentAt = storeTime, sentAt
}

// latestStoreTime returns an upper bound of the store's clock at now, or zero if no
// response has contained it. It is an upper bound because the store read its clock no
// earlier than the call was sent.
func (k *Keeper) latestStoreTime(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.storeTime == 0 {
		return 0
	}
	return k.storeTime + now.Sub(k.storeTimeSentAt)
}

func (k *Keeper) read(ctx context.Context, name string) (platform.Row, record, error) {
	var r record
	sentAt, era := k.now(), k.currentEra()
	row, err := k.o.Table.Get(ctx, rowKey(name, era))
	isMissing := platform.ErrNotFound.Has(err)
	if err != nil && !isMissing {
		return row, r, err
	}
	if err := k.checkEra(era, row.Era); err != nil {
		return row, r, err
	}
	k.noteStoreTime(row.StoreTime, sentAt)
	if isMissing {
		return platform.Row{Era: row.Era}, r, nil
	}
	return row, r, Error.Wrap(cbor.Unmarshal(row.Value, &r))
}

// write replaces the row, which was read before, and returns the new version.
func (k *Keeper) write(ctx context.Context, name string, row platform.Row, r record) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	sentAt := k.now()
	written, err := k.o.Table.Put(ctx, rowKey(name, row.Era), row.Version, value)
	if err != nil {
		return 0, err
	}
	if err := k.checkEra(row.Era, written.Era); err != nil {
		return 0, err
	}
	k.noteStoreTime(written.StoreTime, sentAt)
	return written.Version, nil
}
