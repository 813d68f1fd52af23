#include "quetzallift/edge/signature.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

// Guards against a signature that is accepted for another digest or key, or although it is truncated or not hexadecimal.
Test(signature, matchesOnlyItsDigestAndKey)
{
    const KeyPair pair = generateKeyPair();
    const std::string signature = signDigest("abc", pair.secretKey);
    cr_assert(signatureMatches("abc", signature, pair.publicKey));
    cr_assert_not(signatureMatches("abd", signature, pair.publicKey));
    cr_assert_not(signatureMatches("abc", signature, generateKeyPair().publicKey));
    cr_assert_not(signatureMatches("abc", signature.substr(2), pair.publicKey));
    cr_assert_not(signatureMatches("abc", "zz" + signature.substr(2), pair.publicKey));
}
