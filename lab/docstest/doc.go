// Package docstest checks that the pages agree with the product: links, make
// targets, refusal reasons, metrics and settings that they name or must name.
package docstest
