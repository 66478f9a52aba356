// Command wirelab holds the scripts of the second review: entry VMs as processes, with stand-ins of the store, replicas and consumers
// on loopback. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns how often its rule was broken; trouble says whether the disruption takes place.
var cases = map[string]func(w *world, program string, trouble bool) (broken int, err error){
	"extra":    extraCase,
	"silent":   silentCase,
	"replaced": replacedCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: wirelab CASE PROGRAM RECORD, with CASE extra, silent or replaced")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit status.
func play(name, program, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[name](w, program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken > 0:
		w.note("rule broken %d times", broken)
		fmt.Printf("rule broken %d times\n", broken)
		return 1
	}
	w.note("rule held")
	fmt.Println("rule held")
	return 0
}
