package bbrowner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// quotaInterval bounds the time between two checks for shares to be released.
	quotaInterval = 500 * time.Millisecond
	// quotaPause is the pause after a transaction, so that the next one changes the
	// shares of several organisations.
	quotaPause = 10 * time.Millisecond
	// quotaReadInterval is the time between two reads of all shares while the shard has
	// idle parts, and quotaWaitInterval that between two reads of the shares of an
	// organisation whose work waits.
	quotaReadInterval = time.Second
	quotaWaitInterval = 300 * time.Millisecond
	// maxShareChanges is the number of shares that one transaction changes: each needs
	// a condition and a put; the claim and the configuration need a condition each.
	maxShareChanges = (bbrkv.MaxTransactionSize - 2) / 2
)

// storedShares is the record of an organisation's shares as last read or written. The
// zero value stands for a record that does not exist.
type storedShares struct {
	bbrquota.Record
	revision bbrkv.Revision
	readAt   time.Time
}

// shareChange is a change of the shard's share of one organisation's cap.
type shareChange struct {
	organisation string
	share        bbrwork.Resources
	// grows means that the share becomes larger.
	grows bool
	// wait tells the other shards to release parts of theirs.
	wait bbrquota.Wait
}

// quotaKeeper changes the shard's shares of the caps of organisations as its work needs
// them. It lowers a share in the scheduler before it releases a part in the store, and
// raises it there only after the store has confirmed that.
type quotaKeeper struct {
	owner *Owner
	// records has what is known of the records, by organisation.
	records map[string]storedShares
	// readAllAt is when all records were last read.
	readAllAt time.Time
}

// run adjusts the shares until ctx ends.
func (k *quotaKeeper) run(ctx context.Context) {
	timer := time.NewTicker(quotaInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.owner.adjustShares:
		case <-timer.C:
		}
		k.adjust(ctx)
		bbrpause.For(ctx, quotaPause)
	}
}

func (k *quotaKeeper) adjust(ctx context.Context) {
	k.reread(ctx, time.Now())
	changes, config := k.changes(time.Now())
	if len(changes) > 0 {
		k.commit(ctx, changes, config)
	}
}

// shardCount returns the number of shards that share the caps.
func (o *Owner) shardCount() int {
	if o.ShardCount == nil {
		return 1
	}
	return o.ShardCount()
}

// changes returns the shares to change, at most as many as fit into a transaction, and
// the store's revision of the configuration whose caps they obey. A share that becomes
// smaller is lowered at once.
func (k *quotaKeeper) changes(now time.Time) ([]shareChange, bbrkv.Revision) {
	o := k.owner
	shards := o.shardCount()
	o.mu.Lock()
	defer o.mu.Unlock()
	accounts := o.scheduler.Accounts()
	var changes []shareChange
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		account := accounts[name]
		share, wait := account.Target(shards), account.Wait(now)
		if share == account.Held && wait == k.records[name].Waiting[o.Shard.String()] || len(changes) == maxShareChanges {
			continue
		}
		changes = append(changes, shareChange{organisation: name, share: share, grows: !share.Fits(account.Held), wait: wait})
		account.Begin(share)
	}
	return changes, bbrkv.Revision(o.scheduler.ConfigRevision())
}

// reread reads the shares of all organisations after a new configuration and, while the
// shard has idle parts, from time to time: other shards may wait for them. Between these
// reads it reads the shares of organisations whose work waits for what others release.
func (k *quotaKeeper) reread(ctx context.Context, now time.Time) {
	o := k.owner
	o.mu.Lock()
	config := bbrkv.Revision(o.scheduler.ConfigRevision())
	all, waiting := k.outdated(now)
	o.mu.Unlock()
	var items []bbrkv.Item
	var err error
	switch {
	case all:
		items, err = o.loadShares(ctx)
	case len(waiting) > 0:
		items, err = k.readEach(ctx, waiting)
	default:
		return
	}
	if err != nil {
		klog.V(1).InfoS("Failed to read the shares of caps", "shard", o.Shard, "reason", err.Error())
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if all {
		k.readAllAt = now
		k.observeAll(items, config, now)
	} else {
		for _, item := range items {
			k.observeItem(item, config, now)
		}
	}
	o.requestPlan()
}

// outdated reports whether the shares of all organisations have to be read, and returns
// those of which only the own have to be. The caller holds the owner's lock.
func (k *quotaKeeper) outdated(now time.Time) (all bool, waiting []string) {
	old := now.Sub(k.readAllAt) > quotaReadInterval
	for name, account := range k.owner.scheduler.Accounts() {
		all = all || !account.Verified || old && account.Idle()
		if now.Sub(k.records[name].readAt) > quotaWaitInterval && account.Wait(now) != bbrquota.NoWait {
			waiting = append(waiting, name)
		}
	}
	return all, waiting
}

// readEach reads the records of organisations.
func (k *quotaKeeper) readEach(ctx context.Context, names []string) ([]bbrkv.Item, error) {
	var items []bbrkv.Item
	for _, name := range names {
		item, err := k.owner.Store.Get(ctx, bbrrecord.SharesKey(name))
		if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
			return nil, err
		}
		item.Key = bbrrecord.SharesKey(name)
		items = append(items, item)
	}
	return items, nil
}

// observeAll records what the store had of all organisations. The caller holds the
// owner's lock.
func (k *quotaKeeper) observeAll(items []bbrkv.Item, config bbrkv.Revision, now time.Time) {
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
		k.observeItem(item, config, now)
	}
	for name := range k.owner.scheduler.Accounts() {
		if key := bbrrecord.SharesKey(name); !seen[key] {
			k.observe(name, bbrkv.Item{Key: key}, config, now)
		}
	}
}

// observeItem is observe for an item with its key.
func (k *quotaKeeper) observeItem(item bbrkv.Item, config bbrkv.Revision, now time.Time) {
	name, err := bbrrecord.OrganisationOf(item.Key)
	if err != nil {
		klog.ErrorS(err, "Key of the shares of a cap names no organisation", "key", item.Key)
		return
	}
	k.observe(name, item, config, now)
}

// observe records what the store had about an organisation's shares when the
// configuration of the given revision applied. An item that is older than what is known
// is ignored. The caller holds the owner's lock.
func (k *quotaKeeper) observe(organisation string, item bbrkv.Item, config bbrkv.Revision, now time.Time) {
	if item.Revision < k.records[organisation].revision {
		return
	}
	known := storedShares{revision: item.Revision, readAt: now}
	account := k.owner.scheduler.Account(organisation)
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &known.Record); err != nil {
			klog.ErrorS(err, "Failed to decode the shares of a cap, assuming that none is free", "key", item.Key, "revision", item.Revision)
			known.Shares = map[string]bbrwork.Resources{"unknown": account.Cap}
		}
	}
	k.records[organisation] = known
	account.Others, account.OthersWait = known.Others(k.owner.Shard.String())
	account.Verified = account.Verified || config == bbrkv.Revision(k.owner.scheduler.ConfigRevision())
}

// commit stores the changes. A transaction whose answer was lost is sent again until the
// store settles whether it was applied: until then it could still take effect later.
func (k *quotaKeeper) commit(ctx context.Context, changes []shareChange, config bbrkv.Revision) {
	o := k.owner
	transaction, records := k.transaction(changes, config)
	for attempt := 1; ; attempt++ {
		revision, err := o.Store.Commit(ctx, transaction)
		var conflict *bbrkv.Conflict
		switch {
		case err == nil:
			k.applied(changes, records, revision, time.Now())
			return
		case errors.As(err, &conflict):
			k.resolveConflict(changes, conflict, config, time.Now())
			return
		case errors.Is(err, bbrkv.ErrAnswerLost):
			o.Metrics.Event("quota:unsettled")
		default:
			o.Metrics.Event("quota:refused")
		}
		if attempt == 1 {
			klog.InfoS("Failed to change shares of caps, will retry", "shard", o.Shard, "changes", len(changes), "reason", err.Error())
		}
		bbrpause.For(ctx, flushRetryDelay)
		if ctx.Err() != nil {
			return
		}
	}
}

// transaction returns the transaction for the changes, and the records that it stores.
func (k *quotaKeeper) transaction(changes []shareChange, config bbrkv.Revision) (bbrkv.Transaction, []bbrquota.Record) {
	o := k.owner
	transaction := bbrkv.Transaction{Conditions: []bbrkv.Condition{o.Held.Condition()}}
	if slices.ContainsFunc(changes, func(change shareChange) bool { return change.grows }) {
		transaction.Conditions = append(transaction.Conditions, bbrkv.Condition{Key: o.ConfigKey, Revision: config})
	}
	var records []bbrquota.Record
	for _, change := range changes {
		known := k.records[change.organisation]
		key := bbrrecord.SharesKey(change.organisation)
		record := known.With(o.Shard.String(), change.share, change.wait)
		records = append(records, record)
		transaction.Conditions = append(transaction.Conditions, bbrkv.Condition{Key: key, Revision: known.revision})
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: key, Value: bbrrecord.Encode(record)})
	}
	return transaction, records
}

// applied records that the changes are stored, and logs them.
func (k *quotaKeeper) applied(changes []shareChange, records []bbrquota.Record, revision bbrkv.Revision, now time.Time) {
	o := k.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, change := range changes {
		k.records[change.organisation] = storedShares{Record: records[i], revision: revision, readAt: now}
		account := o.scheduler.Account(change.organisation)
		account.Held = change.share
		klog.V(1).InfoS("Share of a cap changed", "organisation", change.organisation, "shard", o.Shard, "token", o.Held.Token,
			"share", change.share, "others", account.Others, "used", account.Used, "cap", account.Cap, "revision", revision)
	}
	o.Metrics.Event("quota:changed")
	o.requestPlan()
}

// resolveConflict takes over the records that another shard has changed, and the shard's
// own shares in them: an attempt whose answer was lost may have been applied. No attempt
// can be applied from now on, since revisions only increase. The next round tries again.
func (k *quotaKeeper) resolveConflict(changes []shareChange, conflict *bbrkv.Conflict, config bbrkv.Revision, now time.Time) {
	o := k.owner
	o.Metrics.Event("quota:conflict")
	if claim := o.Held.Condition(); conflict.Items[claim.Key].Revision != claim.Revision {
		o.stopReplaced("a condition of its transaction does not hold")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, change := range changes {
		k.observe(change.organisation, conflict.Items[bbrrecord.SharesKey(change.organisation)], config, now)
		o.scheduler.Account(change.organisation).Held = k.records[change.organisation].Shares[o.Shard.String()]
	}
	signal(o.adjustShares)
}

// loadShares reads the shares of all organisations.
func (o *Owner) loadShares(ctx context.Context) ([]bbrkv.Item, error) {
	items, _, err := o.Store.ReadAll(ctx, bbrrecord.SharesPrefix)
	return items, err
}

// unknownConfig is the revision of no configuration.
const unknownConfig = bbrkv.Revision(-1)

// newQuotaKeeper returns a keeper that takes over the shard's shares from the items. The
// configuration in the scheduler may be newer than the items. The caller holds the
// owner's lock.
func (o *Owner) newQuotaKeeper(items []bbrkv.Item, now time.Time) *quotaKeeper {
	k := &quotaKeeper{owner: o, records: make(map[string]storedShares, len(items))}
	k.observeAll(items, unknownConfig, now)
	for name, known := range k.records {
		o.scheduler.Account(name).Held = known.Shares[o.Shard.String()]
	}
	return k
}
