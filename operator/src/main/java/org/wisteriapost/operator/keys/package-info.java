/**
 * Commands that manage the signing keys of operators.
 */
package org.wisteriapost.operator.keys;
