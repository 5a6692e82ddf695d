package domainapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDomainAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "DomainAPI")
}
