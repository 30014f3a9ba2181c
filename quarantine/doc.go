// Package quarantine tells requests by fingerprints, so that one under which targets
// end is known when it comes again.
package quarantine
