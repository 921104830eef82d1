package bbrscheduler

import (
	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// account returns the account of the job's organisation, or nil if the job belongs to
// none.
func (sched *Scheduler) account(j *job) *bbrquota.Account {
	if j.Organisation == "" {
		return nil
	}
	account := sched.accounts[j.Organisation]
	if account == nil {
		account = &bbrquota.Account{Unknown: sched.Loading()}
		if organisation := sched.config.Organisations[j.Organisation]; organisation != nil {
			account.Cap = organisation.Cap
		}
		sched.accounts[j.Organisation] = account
	}
	return account
}

// capOf returns the cap of an organisation; a resource that is not limited is 0.
func (sched *Scheduler) capOf(organisation string) bbrwork.Resources {
	if account := sched.accounts[organisation]; account != nil {
		return account.Cap
	}
	return bbrwork.Resources{}
}

// Accounts returns the accounts of the organisations, by name: those of the configuration
// and those of jobs.
func (sched *Scheduler) Accounts() map[string]*bbrquota.Account { return sched.accounts }

// Account returns the account of an organisation.
func (sched *Scheduler) Account(organisation string) *bbrquota.Account {
	return sched.account(&job{Job: &bbrwork.Job{Organisation: organisation}})
}

// ConfigRevision returns the store's revision of the configuration that the scheduler
// applies.
func (sched *Scheduler) ConfigRevision() int64 { return sched.config.StoreRevision }

// applyCaps applies the caps of a configuration. An organisation that it does not have
// keeps its last known cap.
func (sched *Scheduler) applyCaps(config *bbrwork.Config) {
	for name := range config.Organisations {
		sched.Account(name)
	}
	for name, account := range sched.accounts {
		limit := account.Cap
		if organisation := config.Organisations[name]; organisation != nil {
			limit = organisation.Cap
		}
		account.SetCap(limit)
	}
}

// QuotaWanted reports whether the shard needs a larger share of a cap, or can release
// a part of one. shards is the number of shards that share the caps.
func (sched *Scheduler) QuotaWanted(shards int) bool {
	for _, account := range sched.accounts {
		if account.Blocked() || account.Target(shards) != account.Held {
			return true
		}
	}
	return false
}

// beginQuota prepares the accounts for a round of planning.
func (p *planner) beginQuota() {
	reserves, unknown := p.unlocatedUse(), p.sched.usageUnknown(p.now)
	for name, account := range p.sched.accounts {
		account.Unknown = unknown
		account.BeginPlan(reserves[name])
	}
}

// unlocatedUse returns, by organisation, what an earlier owner may have started on
// upstreams that have not answered yet.
func (p *planner) unlocatedUse() map[string]bbrwork.Resources {
	if len(p.sched.accounts) == 0 || p.sched.EarlierWorkLocated(p.now) {
		return nil
	}
	use := make(map[string]bbrwork.Resources)
	for _, j := range p.sched.jobs {
		if j.Organisation == "" || !p.mayHaveUnlocatedRuns(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.idleUnits > 0 && s.unitsLeft > 0 && s.runnable(p.now) {
					use[j.Organisation] = use[j.Organisation].Plus(s.spec.Need.Times(p.unlocatedIdleUnits(s)))
				}
			}
		}
	}
	return use
}

// withinCap reports whether count work units of the step may start within the shard's
// share of the organisation's cap. If not, it records what the step needs.
func (p *planner) withinCap(s *step, count int) bool {
	account := p.sched.account(s.job)
	if account == nil || account.Allows(s.spec.Need.Times(count)) {
		return true
	}
	if account.Unknown {
		return false
	}
	account.Block(s.spec.Need.Times(max(count, s.idleUnits)), p.free)
	return false
}

// beyondCap reports whether the shard's share of the organisation's cap lacks room for
// a work unit of the step. Unlike withinCap it records nothing.
func (sched *Scheduler) beyondCap(s *step) bool {
	count := 1
	if s.spec.Gang {
		count = len(s.units)
	}
	return !sched.capAllows(s, count)
}

// capAllows reports whether count work units of the step may start within the shard's
// share of the organisation's cap. Unlike withinCap it records nothing.
func (sched *Scheduler) capAllows(s *step, count int) bool {
	account := sched.accounts[s.job.Organisation]
	if account == nil {
		return true
	}
	copied := *account
	return copied.Allows(s.spec.Need.Times(count))
}
