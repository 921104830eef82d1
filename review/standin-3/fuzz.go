package main

import (
	"fmt"
	"math/rand"
	"os"
	"strings"
	"time"
)

// rss returns the resident memory of an entry in MB.
func (e *entry) rss() int {
	e.w.mu.Lock()
	cmd := e.cmd
	e.w.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

func runFuzz(w *world, mode string, length time.Duration) {
	routes := w.deployment(map[string]int{"alpha": 6, "beta": 3, "spare": 3}, amount{32000, 131072, 0}, false)
	r := routes["q-alpha"]
	end := time.Now().Add(length)
	go func() {
		for time.Now().Before(end) {
			time.Sleep(2 * time.Second)
			var list []int
			for _, e := range w.entries {
				list = append(list, e.rss())
			}
			w.record("memory in MB: %v", list)
		}
	}()
	pick := func(v ...int) int { return v[rand.Intn(len(v))] }
	for n := 0; time.Now().Before(end); n++ {
		var j *jobSpec
		switch pick(0, 1, 2, 3) {
		case 0:
			j = newJob(r, stepSpec{Count: pick(1, 1000, 50000, 100000), CPU: pick(0, 1, 100, 31000), Mem: pick(0, 1, 1000), EstimateMs: float64(pick(0, 1, 1000, 300000000)) * 1000, WorkMs: 2000, Gang: rand.Intn(3) == 0, Checkpoint: rand.Intn(2) == 0, Apart: pick(0, 1, 5)})
		case 1:
			var steps []stepSpec
			for i := 0; i < 1000; i++ {
				st := stepSpec{Count: pick(1, 99), CPU: pick(1, 100), Mem: pick(1, 100), WorkMs: 1000, EstimateMs: 1000, Image: fmt.Sprint("im", i)}
				if i > 0 && rand.Intn(2) == 0 {
					st.After = []int{i - 1}
				}
				steps = append(steps, st)
			}
			j = newJob(r, steps...)
		case 2:
			j = newJob(r, stepSpec{Count: pick(1, 10), CPU: pick(1, 100), Mem: 1, WorkMs: 1000, EstimateMs: 1000})
			j.runCount = pick(1000, 10000)
			j.firstMs, j.everyMs = time.Now().UnixMilli()-1000000, int64(pick(0, 1, 1000))
		case 3:
			j = newJob(r, stepSpec{Count: pick(10, 1000, 20000), CPU: 10, Mem: 10, Lasts: true, EstimateMs: 1000, TargetMs: 100, MayMiss: 1, Fills: rand.Intn(2) == 0})
		}
		j.spec = strings.Repeat("x", pick(1, 4000))
		w.clients.Add(1)
		go w.follow(j, r, 0, end)
		time.Sleep(time.Duration(pick(10, 100, 300)) * time.Millisecond)
	}
	w.clients.Wait()
}
