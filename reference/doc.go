// Package reference generates the pages docs/settings.md, docs/errors.md and
// docs/CAPACITY.md from tables in the code. A test fails if a page differs from its
// table; "go test ./reference -update" rewrites the pages.
package reference
