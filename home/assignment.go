package home

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
)

// AssignmentSpec holds the values that NewAssignment takes.
type AssignmentSpec struct {
	// Estate is the catalogue in force.
	Estate catalogue.Estate
	// Shares maps the id of each group that this daemon serves, as home or
	// acting home, to its share.
	Shares map[string]lease.Share
}

// Assignment is what a daemon is to serve as home.
type Assignment struct {
	spec AssignmentSpec
}

// NewAssignment returns the immutable Assignment that spec describes.
func NewAssignment(spec AssignmentSpec) Assignment { return Assignment{spec: spec} }

// Estate is the catalogue in force.
func (a Assignment) Estate() catalogue.Estate { return a.spec.Estate }

// Share returns the share of a group; lease.None when the group is not assigned.
func (a Assignment) Share(group string) lease.Share { return a.spec.Shares[group] }
