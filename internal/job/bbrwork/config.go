package bbrwork

import (
	"strings"
	"time"
)

// Service is a pool of instances.
type Service struct {
	Name string
	// RejectsOverload means that upstreams refuse work that exceeds their capacity.
	RejectsOverload bool
	// Spare means that the pool's instances are powered off.
	Spare bool
	// MaxConnections bounds the connections to each upstream.
	MaxConnections int
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version int64
	// StoreRevision is the store's revision at which the configuration was written.
	StoreRevision int64

	Queues   map[string]*Queue
	Services map[string]*Service
	Limits   Limits
	// Organisations has the organisations by name; nil if the configuration has none,
	// so that callers need no keys.
	Organisations map[string]*Organisation

	byHost map[string][]*Queue
	byKey  map[KeyDigest]*Organisation
}

// Limits bounds callers' requests.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// NewConfig returns a configuration in which queues can be looked up by host.
func NewConfig(version int64, queues []*Queue, services []*Service, limits Limits) *Config {
	config := &Config{
		Version:  version,
		Queues:   make(map[string]*Queue, len(queues)),
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Queue),
	}
	for _, queue := range queues {
		config.Queues[queue.Name] = queue
		config.byHost[queue.Host] = append(config.byHost[queue.Host], queue)
	}
	for _, service := range services {
		config.Services[service.Name] = service
	}
	return config
}

// ServiceIndex returns the service's position among the services sorted by name.
// It differs from those of the other services.
func (c *Config) ServiceIndex(service string) int {
	index := 0
	for name := range c.Services {
		if name < service {
			index++
		}
	}
	return index
}

// FindQueue returns the queue of the host that has the longest matching prefix of the
// path, and the part of the path after the prefix. The queue is nil if none matches.
func (c *Config) FindQueue(host, path string) (found *Queue, rest string) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, queue := range c.byHost[host] {
		if strings.HasPrefix(path, queue.Prefix) && (found == nil || len(queue.Prefix) > len(found.Prefix)) {
			found = queue
		}
	}
	if found == nil {
		return nil, ""
	}
	return found, path[len(found.Prefix):]
}
