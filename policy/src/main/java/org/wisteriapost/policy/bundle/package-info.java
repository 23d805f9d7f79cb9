/**
 * What a bundle says and when its head may move.
 */
package org.wisteriapost.policy.bundle;
