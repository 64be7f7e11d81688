// Package crowd has only tests: crowds of callers that misbehave, against real processes of the shipped binary on
// loopback addresses. A test checks that the process lives, that its memory and its open descriptors stay under a
// bound, and that one ordinary request is answered.
//
// The bounds come from the smallest VM, which has 136 MB with the platform's part, and from the limits in the
// settings of the tests, which are low so that small crowds reach them. The tests run one at a time.
package crowd
