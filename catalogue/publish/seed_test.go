package publish_test

import "flag"

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
