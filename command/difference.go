package command

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/diff"
	"medlaryard.example/medlaryard/catalogue/publish"
)

// storeReadTimeout bounds the read of the current catalogue by check.
const storeReadTimeout = 5 * time.Second

// difference describes the changes from the current catalogue to proposed. If no
// catalogue is in force, everything in proposed is listed as added.
func difference(current publish.Current, proposed catalogue.Estate) (string, error) {
	var before catalogue.Estate
	if current.Generation() > 0 {
		var err error
		if before, err = current.Estate(); err != nil {
			return "", err
		}
	}
	return diff.Format(diff.Compare(before, proposed)), nil
}
