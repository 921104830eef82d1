// Command standin-2 plays the platform, the minions and the clients around entries that it
// starts, for the cases of the second review.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	number := flag.Int("case", 0, "number of the case")
	record := flag.String("record", "record.txt", "file that receives what was sent, answered and run")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "standin-2-")
	check(err)
	defer os.RemoveAll(dir)
	var broken []string
	switch *number {
	case 6:
		broken = schedules(dir, *record, trouble)
	case 7:
		broken = lateStart(dir, *record, trouble)
	case 8:
		broken = rackLost(dir, *record, trouble)
	case 9:
		broken = rerouted(dir, *record, trouble)
	case 10:
		broken = failedStarts(dir, *record, trouble)
	default:
		check(fmt.Errorf("no case %d", *number))
	}
	for _, line := range broken {
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		os.RemoveAll(dir)
		os.Exit(1)
	}
	fmt.Println("the rules held")
}
