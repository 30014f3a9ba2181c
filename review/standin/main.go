// Command standin runs one case of the review: it starts the project's nodes as processes, plays the
// platform, the engines and the clients, and judges what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Results of a case, its exit status.
const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run
)

// run is what a case needs.
type run struct {
	root, dir string
	trouble   bool
	record    *record
}

var cases = map[string]func(*run) (int, error){
	"memory": memoryCase,
	"extra":  extraCase,
	"keys":   keysCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the repository's root")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r := &run{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	result, err := cases[name](r)
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	word := map[int]string{held: "held", broken: "broken"}[result]
	rec.add("result: the rule was %s", word)
	fmt.Println(name, "trouble:", r.trouble, "the rule was", word)
	return result
}
