// Package bbrgateway takes callers' requests over HTTP and from other entries,
// places them on upstreams and answers them. It joins the decisions of the
// other request packages and is the only one of them with I/O of callers.
package bbrgateway
