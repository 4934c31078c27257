// Package crashes simulates daemons that decide, by package admission, which requests crash
// targets. It measures both errors: harmless requests that are refused, and requests that
// crash targets and are sent again. It needs no network and no time.
package crashes
