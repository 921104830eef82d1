package bbrintake

import (
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// formerServiceRetention is how long queries about a queue reach the service that it had
// before: until then, the owners of that service have stored that they have jobs of it.
const formerServiceRetention = time.Minute

// FormerServices remembers the services that queues had in earlier configurations. Owners store
// which of them have waiting jobs, but only a moment after a change. The zero value is ready to use.
type FormerServices struct {
	mu sync.Mutex
	// current has the service of each queue in the last configuration that has the queue.
	current map[string]string
	// until has when a former service is forgotten, by queue and service.
	until map[string]map[string]time.Time
}

// Apply records a configuration that comes into force.
func (f *FormerServices) Apply(config *bbrwork.Config, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		f.current, f.until = make(map[string]string), make(map[string]map[string]time.Time)
	}
	for name, queue := range config.Queues {
		former, known := f.current[name]
		f.current[name] = queue.Service
		if !known || former == queue.Service {
			continue
		}
		if f.until[name] == nil {
			f.until[name] = make(map[string]time.Time)
		}
		f.until[name][former] = now.Add(formerServiceRetention)
	}
	f.sweep(now)
}

// sweep forgets former services. The caller holds the lock.
func (f *FormerServices) sweep(now time.Time) {
	for queue, services := range f.until {
		for service, until := range services {
			if now.After(until) {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(f.until, queue)
		}
	}
}

// Of returns the services that the queue had lately.
func (f *FormerServices) Of(queue string, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sweep(now)
	var services []string
	for service := range f.until[queue] {
		services = append(services, service)
	}
	return services
}
