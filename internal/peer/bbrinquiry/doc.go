// Package bbrinquiry carries the questions that entries ask the owners of
// services, over drpc. The answers save reads of the store; where there is none,
// the store is asked.
package bbrinquiry
