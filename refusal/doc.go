// Package refusal is the closed list of error kinds. One table maps each kind
// to the answer that a caller receives.
package refusal
